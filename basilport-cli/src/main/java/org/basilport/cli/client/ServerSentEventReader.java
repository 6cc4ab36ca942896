package org.basilport.cli.client;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Reads server-sent events; an event that is truncated by the end of the stream is discarded. */
final class ServerSentEventReader implements AutoCloseable {
  private final BufferedReader lines;

  ServerSentEventReader(InputStream input) {
    lines = new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8));
  }

  /** Returns the next event, or empty at the end of the stream. */
  Optional<ReceivedEvent> next() throws IOException {
    String id = "";
    String event = "";
    StringBuilder data = new StringBuilder();
    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
      if (line.isEmpty() && !event.isEmpty()) {
        return Optional.of(new ReceivedEvent(id, event, data.toString()));
      }
      int colon = line.indexOf(':');
      String value = colon < 0 ? "" : line.substring(colon + 1).stripLeading();
      String field = colon < 0 ? line : line.substring(0, colon);
      switch (field) {
        case "id":
          id = value;
          break;
        case "event":
          event = value;
          break;
        case "data":
          data.append(value);
          break;
        default:
          break;
      }
    }
    return Optional.empty();
  }

  @Override
  public void close() throws IOException {
    lines.close();
  }
}
