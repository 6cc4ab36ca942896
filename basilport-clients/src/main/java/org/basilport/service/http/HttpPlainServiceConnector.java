package org.basilport.service.http;

import org.basilport.http.HttpConnector;
import org.basilport.service.PlainService;
import org.basilport.service.PlainServiceConnector;

/** Creates HTTP clients of replicas of application services. */
public final class HttpPlainServiceConnector implements PlainServiceConnector {
  private final HttpConnector connector;

  /** Creates a connector whose clients share the given HTTP connector. */
  public HttpPlainServiceConnector(HttpConnector connector) {
    this.connector = connector;
  }

  @Override
  public PlainService connect(String address) {
    return new HttpPlainService(connector, address);
  }
}
