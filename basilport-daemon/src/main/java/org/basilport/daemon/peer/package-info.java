/** Calls between instances over gRPC. */
package org.basilport.daemon.peer;
