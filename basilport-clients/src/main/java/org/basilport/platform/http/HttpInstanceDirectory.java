package org.basilport.platform.http;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.basilport.http.HttpCall;
import org.basilport.http.HttpResponse;
import org.basilport.http.HttpTransport;
import org.basilport.platform.InstanceDirectory;
import org.basilport.platform.ListedInstance;

/** HTTP client of the instance directory. */
public final class HttpInstanceDirectory implements InstanceDirectory {
  private static final int OK = 200;

  private final PlatformHttpClient http;

  /** Creates a client of the platform at an IP address and port. */
  public HttpInstanceDirectory(HttpTransport transport, String address, String clientId) {
    this.http = new PlatformHttpClient(transport, address, clientId);
  }

  @Override
  public CompletableFuture<List<ListedInstance>> list() {
    HttpCall call = http.call("GET", "/instances");
    return http.send(call, HttpInstanceDirectory::decode);
  }

  private static List<ListedInstance> decode(HttpResponse response) {
    if (response.status() != OK) {
      throw PlatformHttpClient.notOfTheCall(response);
    }
    return ListedInstanceDecoder.decodeAll(response.body());
  }
}
