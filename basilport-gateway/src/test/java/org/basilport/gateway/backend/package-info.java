/** Tests of the connections to backend servers. */
package org.basilport.gateway.backend;
