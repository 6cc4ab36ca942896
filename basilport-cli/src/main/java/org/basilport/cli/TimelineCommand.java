package org.basilport.cli;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.basilport.cli.client.InstanceAnswer;
import org.basilport.daemon.MergedTimeline;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Prints the merged timeline of all instances. */
@Command(name = "timeline", description = "Print the merged events of all instances.")
final class TimelineCommand extends BaseCommand {
  @Mixin private OperatorOptions operator;

  @Option(names = "--request", defaultValue = "", description = "only this request or generation")
  private String request;

  @Option(names = "--only-workspace", defaultValue = "", description = "only this workspace")
  private String workspace;

  @Option(names = "--server", defaultValue = "", description = "only this backend server")
  private String server;

  @Option(
      names = "--from-millis",
      defaultValue = "0",
      description = "earliest time, in milliseconds since the epoch")
  private long fromMillis;

  @Option(
      names = "--to-millis",
      defaultValue = "9223372036854775807",
      description = "latest time, in milliseconds since the epoch")
  private long toMillis;

  @Option(
      names = "--limit",
      defaultValue = "1000",
      description = "maximum number of events, from 1 to 10000; default: ${DEFAULT-VALUE}")
  private int limit;

  @Option(names = "--json", description = "print the response as JSON")
  private boolean json;

  @Option(names = "--html", description = "write an HTML page with a plot to this file")
  private Path html;

  @Override
  ExitCode execute() throws IOException {
    InstanceAnswer answer = operator.client().get("/v1/operator/timeline" + query());
    MergedTimeline timeline = answer.as(MergedTimeline.class);
    if (html != null) {
      Files.writeString(html, new TimelinePage(timeline).render());
      out().println("wrote " + html);
    } else if (json) {
      out().println(answer.body());
    } else {
      out().print(TimelineText.format(timeline));
    }
    timeline.missing().forEach(id -> err().println("basilport: no response from instance " + id));
    return ExitCode.DONE;
  }

  private String query() {
    return "?request="
        + encode(request)
        + "&workspace="
        + encode(workspace)
        + "&server="
        + encode(server)
        + "&from="
        + fromMillis
        + "&to="
        + toMillis
        + "&limit="
        + limit;
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }
}
