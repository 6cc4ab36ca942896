/** Tests of the calls between instances over gRPC. */
package org.basilport.daemon.peer;
