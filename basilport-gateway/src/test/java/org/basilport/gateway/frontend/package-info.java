/** Tests of the HTTP server for callers. */
package org.basilport.gateway.frontend;
