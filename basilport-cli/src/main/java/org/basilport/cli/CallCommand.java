package org.basilport.cli;

import java.security.SecureRandom;
import java.time.Instant;
import java.util.HexFormat;
import org.basilport.cli.client.CallResponse;
import org.basilport.daemon.http.Json;
import org.basilport.router.CallRequest;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Calls an application service. */
@Command(
    name = "call",
    description = "Call an application service. Without --repeatable the call runs at most once.")
final class CallCommand extends BaseCommand {
  private static final int RANDOM_BYTES = 12;
  private static final int FIRST_ERROR_STATUS = 400;

  @Mixin private CallerOptions caller;

  @Parameters(index = "0", description = "name of the route")
  private String route;

  @Parameters(index = "1", defaultValue = "", description = "body of the call")
  private String body;

  @Option(names = "--path", defaultValue = "/", description = "path relative to the service")
  private String path;

  @Option(names = "--repeatable", description = "the call may run more than once")
  private boolean repeatable;

  @Option(
      names = "--request-key",
      description = "key <issued epoch seconds>-<random>; default: a new one, printed first")
  private String requestKey;

  @Option(names = "--json", description = "print the response with status and request id as JSON")
  private boolean json;

  @Override
  ExitCode execute() {
    if (requestKey == null && !repeatable) {
      requestKey = newRequestKey();
      err().println("basilport: request key " + requestKey);
    }
    String key = requestKey == null ? "" : requestKey;
    CallRequest request = new CallRequest(route, path, key, repeatable, body);
    CallResponse response = caller.client().call(request);
    out().println(json ? Json.write(response) : response.body());
    if (response.duplicate()) {
      err().println("basilport: an earlier attempt with this key has run; its outcome is shown");
    }
    return response.status() < FIRST_ERROR_STATUS ? ExitCode.DONE : ExitCode.CHECK_FAILED;
  }

  /** Creates a request key. A retry after an unknown outcome must use the same key. */
  static String newRequestKey() {
    byte[] random = new byte[RANDOM_BYTES];
    new SecureRandom().nextBytes(random);
    return Instant.now().getEpochSecond() + "-" + HexFormat.of().formatHex(random);
  }
}
