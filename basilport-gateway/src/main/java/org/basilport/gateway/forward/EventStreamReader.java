package org.basilport.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits a stream of server-sent events into complete events.
 *
 * <p>A backend server may fail within an event. Only complete events are forwarded, so a stream can
 * be resumed after the last one.
 */
final class EventStreamReader {
  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

  /**
   * Size limit of one event. A body without an event boundary within this limit is not an event
   * stream.
   */
  private static final int MAX_EVENT_BYTES = 1_048_576;

  private byte[] pending = new byte[512];
  private int length;
  private int lineStart;
  private int completeLength;
  private Optional<String> lastId = Optional.empty();
  private Optional<String> pendingId = Optional.empty();
  private int eventCount;

  /**
   * Appends received bytes and returns the events that they complete; empty if there are none.
   *
   * @throws IllegalStateException if an event exceeds the size limit
   */
  ByteBuf read(ByteBuf content) {
    int receivedBytes = content.readableBytes();
    if (length + receivedBytes > MAX_EVENT_BYTES) {
      throw new IllegalStateException("event longer than " + MAX_EVENT_BYTES + " bytes");
    }
    if (length + receivedBytes > pending.length) {
      pending = Arrays.copyOf(pending, Math.max(2 * pending.length, length + receivedBytes));
    }
    content.readBytes(pending, length, receivedBytes);
    int from = length;
    length += receivedBytes;
    scanLines(from);
    if (completeLength == 0) {
      return Unpooled.EMPTY_BUFFER;
    }
    ByteBuf completeEvents = Unpooled.copiedBuffer(pending, 0, completeLength);
    System.arraycopy(pending, completeLength, pending, 0, length - completeLength);
    length -= completeLength;
    lineStart -= completeLength;
    completeLength = 0;
    return completeEvents;
  }

  private void scanLines(int from) {
    for (int i = from; i < length; i++) {
      if (pending[i] != '\n') {
        continue;
      }
      int end = i > lineStart && pending[i - 1] == '\r' ? i - 1 : i;
      if (end == lineStart) {
        completeLength = i + 1;
        eventCount++;
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

  /** Discards the bytes of an incomplete event. */
  void dropPartialEvent() {
    length = 0;
    lineStart = 0;
    pendingId = Optional.empty();
  }

  /** Whether the bytes received so far end within an event. */
  boolean hasPartialEvent() {
    return length > 0;
  }

  /** Id of the last complete event; empty before the first one with an id. */
  Optional<String> lastId() {
    return lastId;
  }

  /** Number of complete events. */
  int eventCount() {
    return eventCount;
  }
}
