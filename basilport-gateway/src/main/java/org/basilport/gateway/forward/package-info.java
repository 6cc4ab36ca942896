/** Forwarding of requests: placement, retries, streaming and moves of generations. */
package org.basilport.gateway.forward;
