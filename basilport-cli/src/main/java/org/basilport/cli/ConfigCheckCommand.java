package org.basilport.cli;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.basilport.daemon.http.Json;
import org.basilport.platform.check.CheckReport;
import org.basilport.platform.check.ConfigurationCheck;
import org.basilport.platform.check.Difference;
import org.basilport.platform.check.Finding;
import org.basilport.platform.check.Severity;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Checks a gateway configuration locally, without contacting an instance or a store. */
@Command(
    name = "check",
    description = "Check a configuration of basilport-gateway before it is written to the store.",
    mixinStandardHelpOptions = true,
    exitCodeOnInvalidInput = ConfigCheckCommand.UNREADABLE,
    footer = {
      "",
      "Exit codes: 0 nothing found, 1 warnings only, 2 errors, 3 wrong arguments, or",
      "a file cannot be read or is no JSON. Differences are no finding."
    })
final class ConfigCheckCommand implements Callable<Integer> {
  static final int CLEAN = 0;
  static final int WARNINGS = 1;
  static final int ERRORS = 2;
  static final int UNREADABLE = 3;

  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .build();

  @Spec private CommandSpec spec;

  @Parameters(paramLabel = "FILE", description = "configuration to check, as JSON")
  private Path file;

  @Option(
      names = "--against",
      paramLabel = "FILE2",
      description = "configuration in force; prints the differences from it")
  private Path against;

  @Option(names = "--json", description = "print findings and differences as one JSON object")
  private boolean json;

  @Override
  public Integer call() {
    CheckReport report;
    try {
      JsonNode document = read(file);
      Optional<JsonNode> inForce = against == null ? Optional.empty() : Optional.of(read(against));
      report = ConfigurationCheck.check(document, inForce);
    } catch (UnreadableFileException e) {
      spec.commandLine().getErr().println("basilport: " + e.getMessage());
      return UNREADABLE;
    }
    PrintWriter out = spec.commandLine().getOut();
    if (json) {
      out.println(Json.write(report));
    } else {
      report.findings().forEach(finding -> print(out, finding));
      report.differences().forEach(difference -> print(out, difference));
    }
    out.flush();
    if (report.has(Severity.ERROR)) {
      return ERRORS;
    }
    return report.has(Severity.WARNING) ? WARNINGS : CLEAN;
  }

  /** Reads a file. Messages name no content, which may be an access key. */
  private static JsonNode read(Path path) throws UnreadableFileException {
    try {
      JsonNode document = MAPPER.readTree(Files.readAllBytes(path));
      if (document.isMissingNode()) {
        throw new UnreadableFileException(path + " is empty", null);
      }
      return document;
    } catch (JsonProcessingException e) {
      throw new UnreadableFileException(
          path + " is no valid JSON, or has a field twice in an object" + position(e), e);
    } catch (NoSuchFileException e) {
      throw new UnreadableFileException(path + " does not exist", e);
    } catch (IOException e) {
      throw new UnreadableFileException(path + " cannot be read: " + e.getMessage(), e);
    }
  }

  private static String position(JsonProcessingException e) {
    JsonLocation location = e.getLocation();
    return location == null
        ? ""
        : " at line " + location.getLineNr() + ", column " + location.getColumnNr();
  }

  private static void print(PrintWriter out, Finding finding) {
    out.printf(
        "%s %s: %s%n",
        finding.severity().name().toLowerCase(Locale.ROOT), finding.place(), finding.message());
  }

  private static void print(PrintWriter out, Difference difference) {
    // Names of fields that the gateway does not read may hold line breaks.
    String where =
        difference.place().replaceAll("\\p{Cntrl}", "?")
            + (difference.entry().isEmpty() ? "" : " (" + difference.entry() + ")");
    switch (difference.kind()) {
      case ADDED:
        out.println("+ " + where + suffix(difference.after()));
        break;
      case REMOVED:
        out.println("- " + where + suffix(difference.before()));
        break;
      default:
        out.println("~ " + where + suffix(difference.before() + " -> " + difference.after()));
        break;
    }
  }

  private static String suffix(String value) {
    return value.isEmpty() ? "" : ": " + value;
  }

  /** A file that cannot be read or is no JSON. */
  private static final class UnreadableFileException extends Exception {
    private static final long serialVersionUID = 1;

    UnreadableFileException(String message, Throwable cause) {
      super(message, cause);
    }
  }
}
