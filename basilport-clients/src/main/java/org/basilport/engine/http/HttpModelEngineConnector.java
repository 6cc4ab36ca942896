package org.basilport.engine.http;

import org.basilport.engine.ModelEngine;
import org.basilport.engine.ModelEngineConnector;
import org.basilport.http.HttpTransport;

/** Creates HTTP clients of model engines. */
public final class HttpModelEngineConnector implements ModelEngineConnector {
  private final HttpTransport transport;

  /** Creates a connector whose clients share the given HTTP transport. */
  public HttpModelEngineConnector(HttpTransport transport) {
    this.transport = transport;
  }

  @Override
  public ModelEngine connect(String address) {
    return new HttpModelEngine(transport, address);
  }
}
