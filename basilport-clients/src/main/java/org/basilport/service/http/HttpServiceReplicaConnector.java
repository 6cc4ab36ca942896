package org.basilport.service.http;

import org.basilport.http.HttpTransport;
import org.basilport.service.ServiceReplica;
import org.basilport.service.ServiceReplicaConnector;

/** Gives access over HTTP to the replica at an address. */
public final class HttpServiceReplicaConnector implements ServiceReplicaConnector {
  private final HttpTransport connector;

  /** Creates a connector that sends all requests by the given HTTP connector. */
  public HttpServiceReplicaConnector(HttpTransport connector) {
    this.connector = connector;
  }

  @Override
  public ServiceReplica connect(String address) {
    return new HttpServiceReplica(connector, address);
  }
}
