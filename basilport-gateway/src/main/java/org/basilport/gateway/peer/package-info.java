/** What instances tell one another: their work at backend servers and whether they are ready. */
package org.basilport.gateway.peer;
