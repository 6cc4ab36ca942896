package org.basilport.engine.http;

import org.basilport.engine.ModelEngine;
import org.basilport.engine.ModelEngineConnector;
import org.basilport.http.HttpConnector;

/** Creates HTTP clients of model engines. */
public final class HttpModelEngineConnector implements ModelEngineConnector {
  private final HttpConnector connector;

  /** Creates a connector whose clients share the given HTTP connector. */
  public HttpModelEngineConnector(HttpConnector connector) {
    this.connector = connector;
  }

  @Override
  public ModelEngine connect(String address) {
    return new HttpModelEngine(connector, address);
  }
}
