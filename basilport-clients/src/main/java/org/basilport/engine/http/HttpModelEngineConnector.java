package org.basilport.engine.http;

import org.basilport.engine.ModelEngine;
import org.basilport.engine.ModelEngineConnector;
import org.basilport.http.HttpTransport;

/** Gives access over HTTP to the engine at an address. */
public final class HttpModelEngineConnector implements ModelEngineConnector {
  private final HttpTransport connector;

  /** Creates a connector that sends all requests by the given HTTP connector. */
  public HttpModelEngineConnector(HttpTransport connector) {
    this.connector = connector;
  }

  @Override
  public ModelEngine connect(String address) {
    return new HttpModelEngine(connector, address);
  }
}
