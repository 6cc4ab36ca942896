package org.basilport.platform.http;

import java.util.concurrent.CompletableFuture;
import org.basilport.http.HttpCall;
import org.basilport.http.HttpTransport;
import org.basilport.platform.WeightStore;

/** The weight store over HTTP. */
public final class HttpWeightStore implements WeightStore {
  private final PlatformHttp http;

  /** Creates a client of the platform at an IP address and port. */
  public HttpWeightStore(HttpTransport connector, String address, String clientId) {
    this.http = new PlatformHttp(connector, address, clientId);
  }

  @Override
  public CompletableFuture<Void> reserveFetch(String model, String version) {
    String query = "?model=" + PlatformHttp.encode(model);
    HttpCall call =
        http.call("POST", "/weights" + query + "&version=" + PlatformHttp.encode(version));
    return http.send(call, answer -> null);
  }
}
