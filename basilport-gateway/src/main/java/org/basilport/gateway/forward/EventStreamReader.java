package org.basilport.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits a stream of server-sent events into whole events.
 *
 * <p>A backend server may stop within an event. Only whole events are passed on, so a stream can be
 * continued after the last one.
 */
final class EventStreamReader {
  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

  /** Largest event; a longer one is no event stream. */
  private static final int MAX_EVENT_BYTES = 1_048_576;

  private byte[] pending = new byte[512];
  private int length;
  private int lineStart;
  private int wholeEnd;
  private Optional<String> lastId = Optional.empty();
  private Optional<String> pendingId = Optional.empty();
  private int events;

  /** Takes over received bytes and returns the events that are whole now; empty when none is. */
  ByteBuf read(ByteBuf content) {
    int added = content.readableBytes();
    if (length + added > MAX_EVENT_BYTES) {
      throw new IllegalStateException("event longer than " + MAX_EVENT_BYTES + " bytes");
    }
    if (length + added > pending.length) {
      pending = Arrays.copyOf(pending, Math.max(2 * pending.length, length + added));
    }
    content.readBytes(pending, length, added);
    int from = length;
    length += added;
    scanLines(from);
    if (wholeEnd == 0) {
      return Unpooled.EMPTY_BUFFER;
    }
    ByteBuf whole = Unpooled.copiedBuffer(pending, 0, wholeEnd);
    System.arraycopy(pending, wholeEnd, pending, 0, length - wholeEnd);
    length -= wholeEnd;
    lineStart -= wholeEnd;
    wholeEnd = 0;
    return whole;
  }

  private void scanLines(int from) {
    for (int i = from; i < length; i++) {
      if (pending[i] != '\n') {
        continue;
      }
      int end = i > lineStart && pending[i - 1] == '\r' ? i - 1 : i;
      if (end == lineStart) {
        wholeEnd = i + 1;
        events++;
        pendingId.ifPresent(id -> lastId = Optional.of(id));
        pendingId = Optional.empty();
      } else {
        readField(lineStart, end);
      }
      lineStart = i + 1;
    }
  }

  private void readField(int start, int end) {
    if (end - start < ID_FIELD.length
        || !Arrays.equals(pending, start, start + ID_FIELD.length, ID_FIELD, 0, ID_FIELD.length)) {
      return;
    }
    int valueStart = start + ID_FIELD.length;
    pendingId =
        Optional.of(
            new String(pending, valueStart, end - valueStart, StandardCharsets.US_ASCII).trim());
  }

  /** Forgets a part of an event that was not completed. */
  void dropPartialEvent() {
    length = 0;
    lineStart = 0;
    pendingId = Optional.empty();
  }

  /** Whether received bytes wait for the rest of their event. */
  boolean insideEvent() {
    return length > 0;
  }

  /** Id of the last whole event. */
  Optional<String> lastId() {
    return lastId;
  }

  /** Number of whole events. */
  int events() {
    return events;
  }
}
