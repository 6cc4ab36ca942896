/** Assembly of the forwarding path: configuration, backend servers, callers and other instances. */
package org.basilport.gateway;
