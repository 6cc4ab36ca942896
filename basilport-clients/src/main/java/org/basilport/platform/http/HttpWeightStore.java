package org.basilport.platform.http;

import java.util.concurrent.CompletableFuture;
import org.basilport.http.HttpCall;
import org.basilport.http.HttpTransport;
import org.basilport.platform.WeightStore;

/** HTTP client of the weight store. */
public final class HttpWeightStore implements WeightStore {
  private final PlatformHttpClient http;

  /** Creates a client of the platform at an IP address and port. */
  public HttpWeightStore(HttpTransport transport, String address, String clientId) {
    this.http = new PlatformHttpClient(transport, address, clientId);
  }

  @Override
  public CompletableFuture<Void> reserveFetch(String model, String version) {
    String query = "?model=" + PlatformHttpClient.encode(model);
    HttpCall call =
        http.call("POST", "/weights" + query + "&version=" + PlatformHttpClient.encode(version));
    return http.send(call, PlatformHttpClient::readSuccess);
  }
}
