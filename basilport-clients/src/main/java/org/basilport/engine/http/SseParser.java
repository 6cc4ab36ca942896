package org.basilport.engine.http;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Incremental parser for the data fields of server-sent events; chunks may end at any byte. */
final class SseParser {
  private static final String DATA_FIELD = "data:";

  /** Names of the fields of an event; a comment has an empty one. */
  private static final Set<String> FIELD_NAMES = Set.of("", "data", "event", "id", "retry");

  private static final byte LINE_FEED = '\n';

  /** Size limit of one event; an engine in trouble may send bytes without an event for ever. */
  private static final int MAX_EVENT_BYTES = 2_000_000;

  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private final StringBuilder data = new StringBuilder();

  /**
   * Consumes a chunk and returns the data of all events that it completes.
   *
   * @throws UncheckedIOException if an event is too long, or if a line is none of an event, such as
   *     that of the head of another response
   */
  List<String> add(ByteBuf chunk) {
    List<String> events = new ArrayList<>();
    int length = chunk.bytesBefore(LINE_FEED);
    while (length >= 0) {
      addToLine(chunk, length);
      chunk.skipBytes(1);
      endLine(events);
      length = chunk.bytesBefore(LINE_FEED);
    }
    addToLine(chunk, chunk.readableBytes());
    return events;
  }

  private void addToLine(ByteBuf chunk, int length) {
    if (line.size() + data.length() + length > MAX_EVENT_BYTES) {
      throw new UncheckedIOException(
          new IOException("event longer than " + MAX_EVENT_BYTES + " bytes"));
    }
    byte[] bytes = new byte[length];
    chunk.readBytes(bytes);
    line.writeBytes(bytes);
  }

  private void endLine(List<String> events) {
    String text = line.toString(StandardCharsets.UTF_8).stripTrailing();
    line.reset();
    if (text.isEmpty()) {
      if (data.length() > 0) {
        events.add(data.toString());
        data.setLength(0);
      }
      return;
    }
    String name = text.substring(0, text.indexOf(':') < 0 ? text.length() : text.indexOf(':'));
    if (!FIELD_NAMES.contains(name)) {
      throw new UncheckedIOException(new IOException("line without a field of an event"));
    }
    if (text.startsWith(DATA_FIELD)) {
      if (data.length() > 0) {
        data.append('\n');
      }
      data.append(text.substring(DATA_FIELD.length()).strip());
    }
  }
}
