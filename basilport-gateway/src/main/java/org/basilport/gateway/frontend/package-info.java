/** HTTP server for the connections of callers. */
package org.basilport.gateway.frontend;
