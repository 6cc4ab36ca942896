package org.basilport.platform.http;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.basilport.http.HttpCall;
import org.basilport.http.HttpTransport;
import org.basilport.platform.InstanceDirectory;
import org.basilport.platform.ListedInstance;

/** HTTP client of the instance directory. */
public final class HttpInstanceDirectory implements InstanceDirectory {
  private final PlatformHttpClient http;

  /** Creates a client of the platform at an IP address and port. */
  public HttpInstanceDirectory(HttpTransport transport, String address, String clientId) {
    this.http = new PlatformHttpClient(transport, address, clientId);
  }

  @Override
  public CompletableFuture<List<ListedInstance>> list() {
    HttpCall call = http.call("GET", "/instances");
    return http.send(call, response -> ListedInstanceDecoder.decodeAll(response.body()));
  }
}
