/** The server side of callers' connections. */
package org.basilport.gateway.frontend;
