package org.basilport.service.http;

import org.basilport.http.HttpConnector;
import org.basilport.service.PlainService;
import org.basilport.service.PlainServiceConnector;

/** Gives access over HTTP to the replica at an address. */
public final class HttpPlainServiceConnector implements PlainServiceConnector {
  private final HttpConnector connector;

  /** Creates a connector that sends all requests by the given HTTP connector. */
  public HttpPlainServiceConnector(HttpConnector connector) {
    this.connector = connector;
  }

  @Override
  public PlainService connect(String address) {
    return new HttpPlainService(connector, address);
  }
}
