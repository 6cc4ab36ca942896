package org.basilport.cli;

import java.util.List;
import org.basilport.cli.client.CallerClient;
import org.basilport.cli.client.GenerationSummary;
import org.basilport.cli.client.TokenConsumer;
import org.basilport.daemon.http.Json;
import org.basilport.delivery.GenerationRequest;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Streams a generation to standard output. */
@Command(name = "generate", description = "Stream a generation to standard output.")
final class GenerateCommand extends BaseCommand implements TokenConsumer {
  @Mixin private CallerOptions caller;

  @Parameters(index = "0", description = "name of the route")
  private String route;

  @Parameters(index = "1", description = "prompt")
  private String prompt;

  @Option(
      names = "--max-tokens",
      defaultValue = "512",
      description = "maximum number of tokens to generate; default: ${DEFAULT-VALUE}")
  private int maxTokens;

  @Option(names = "--deferred", description = "only submit the job and print its id")
  private boolean deferred;

  @Option(names = "--json", description = "print each batch of tokens and the end as JSON lines")
  private boolean json;

  @Override
  ExitCode execute() {
    CallerClient client = caller.client();
    GenerationRequest request = new GenerationRequest(route, prompt, maxTokens);
    if (deferred) {
      out().println(client.submitDeferred(request));
      return ExitCode.DONE;
    }
    GenerationSummary summary = client.generate(request, this);
    out().println(json ? Json.write(summary) : "");
    return ExitCode.DONE;
  }

  @Override
  public void onTokens(long offset, List<String> tokens) {
    if (json) {
      out().println(Json.write(new Batch(offset, tokens)));
    } else {
      out().print(String.join("", tokens));
    }
    out().flush();
  }

  @Override
  public void onReconnect(String address) {
    err().println("basilport: stream continues at " + address);
  }

  /** Consecutive tokens, printed as one JSON line. */
  record Batch(long offset, List<String> tokens) {}
}
