/** The life of a request between its caller and backend servers. */
package org.basilport.gateway.forward;
