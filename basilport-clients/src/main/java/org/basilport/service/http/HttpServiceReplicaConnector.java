package org.basilport.service.http;

import org.basilport.http.HttpTransport;
import org.basilport.service.ServiceReplica;
import org.basilport.service.ServiceReplicaConnector;

/** Creates HTTP clients of replicas of application services. */
public final class HttpServiceReplicaConnector implements ServiceReplicaConnector {
  private final HttpTransport transport;

  /** Creates a connector whose clients share the given HTTP transport. */
  public HttpServiceReplicaConnector(HttpTransport transport) {
    this.transport = transport;
  }

  @Override
  public ServiceReplica connect(String address) {
    return new HttpServiceReplica(transport, address);
  }
}
