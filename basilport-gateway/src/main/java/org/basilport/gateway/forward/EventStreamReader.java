package org.basilport.gateway.forward;

import com.google.common.primitives.Longs;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import org.basilport.policy.dispatch.ResponseBufferBudget;

/**
 * Splits a stream of server-sent events into complete events.
 *
 * <p>A backend server may fail within an event. Only complete events are forwarded, so a stream can
 * be resumed after the last one. An event with a new id is progress; comments and events without an
 * id are forwarded but do not count.
 */
final class EventStreamReader {
  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

  /**
   * Size limit of one event. A body without an event boundary within this limit is not an event
   * stream.
   */
  private static final int MAX_EVENT_BYTES = 262_144;

  /**
   * Bytes without a new event, in complete lines, above which the stream is faulty. Comments that
   * keep a connection open are far shorter.
   */
  private static final int MAX_BYTES_WITHOUT_PROGRESS = 65_536;

  /** Size of the buffer of a stream whose events are short. */
  private static final int INITIAL_BYTES = 512;

  private final ResponseBufferBudget budget;
  private byte[] pending = new byte[INITIAL_BYTES];
  private int length;
  private int lineStart;
  private int completeLength;
  private Optional<String> lastId = Optional.empty();
  private Optional<String> pendingId = Optional.empty();
  private int eventCount;
  private int eventsSinceResume;
  private final EventLineCheck lineCheck = new EventLineCheck();
  private int bytesWithoutProgress;
  private Optional<String> problem = Optional.empty();

  /** Creates a reader whose memory is limited only by the size of one event. */
  EventStreamReader() {
    this(new ResponseBufferBudget(MAX_EVENT_BYTES));
  }

  /** Creates a reader whose incomplete event counts towards the budget of the instance. */
  EventStreamReader(ResponseBufferBudget budget) {
    this.budget = budget;
  }

  /**
   * Appends received bytes and returns the events that they complete; empty if there are none.
   * Stops before the first event that must not be forwarded; {@link #problem()} then holds the
   * reason.
   */
  ByteBuf read(ByteBuf content) {
    int receivedBytes = content.readableBytes();
    if (problem.isPresent()) {
      return Unpooled.EMPTY_BUFFER;
    }
    if (length + receivedBytes > MAX_EVENT_BYTES) {
      problem = Optional.of("event longer than " + MAX_EVENT_BYTES + " bytes");
      return Unpooled.EMPTY_BUFFER;
    }
    if (length + receivedBytes > pending.length && !grow(length + receivedBytes)) {
      problem = Optional.of("event is too large to be kept");
      return Unpooled.EMPTY_BUFFER;
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
    if (length == 0) {
      shrink();
    }
    return completeEvents;
  }

  private boolean grow(int requiredBytes) {
    int capacity = Math.min(MAX_EVENT_BYTES, Math.max(2 * pending.length, requiredBytes));
    if (!budget.tryReserve(pending.length - INITIAL_BYTES, capacity - pending.length)) {
      return false;
    }
    pending = Arrays.copyOf(pending, capacity);
    return true;
  }

  private void shrink() {
    if (pending.length > INITIAL_BYTES) {
      budget.release(pending.length - INITIAL_BYTES);
      pending = new byte[INITIAL_BYTES];
    }
  }

  private void scanLines(int from) {
    for (int i = from; i < length && problem.isEmpty(); i++) {
      if (pending[i] != '\n') {
        continue;
      }
      int end = i > lineStart && pending[i - 1] == '\r' ? i - 1 : i;
      if (end == lineStart) {
        endEvent(i + 1);
      } else {
        readField(lineStart, end, i + 1);
      }
      lineStart = i + 1;
    }
  }

  private void endEvent(int end) {
    problem = lineCheck.checkEventEnd();
    if (problem.isPresent()) {
      return;
    }
    if (pendingId.isPresent()) {
      if (!follows(pendingId.get())) {
        problem = Optional.of("event " + pendingId.get() + " after event " + lastId.get());
        return;
      }
      lastId = pendingId;
      pendingId = Optional.empty();
      eventCount++;
      eventsSinceResume++;
      bytesWithoutProgress = 0;
    } else {
      bytesWithoutProgress += end - completeLength;
      if (bytesWithoutProgress > MAX_BYTES_WITHOUT_PROGRESS) {
        problem = Optional.of("no new event within " + MAX_BYTES_WITHOUT_PROGRESS + " bytes");
      }
    }
    completeLength = end;
  }

  /**
   * Whether an id may follow the last one: numbers increase, and nothing else follows a number.
   * Other texts differ.
   */
  private boolean follows(String id) {
    if (lastId.isEmpty()) {
      return true;
    }
    Long number = Longs.tryParse(id);
    Long lastNumber = Longs.tryParse(lastId.get());
    if (lastNumber == null) {
      return !id.equals(lastId.get());
    }
    return number != null && number > lastNumber;
  }

  private void readField(int start, int end, int lineEnd) {
    problem = lineCheck.checkLine(pending, start, end, lineEnd);
    if (problem.isPresent()
        || end - start < ID_FIELD.length
        || !Arrays.equals(pending, start, start + ID_FIELD.length, ID_FIELD, 0, ID_FIELD.length)) {
      return;
    }
    int valueStart = start + ID_FIELD.length;
    pendingId =
        Optional.of(
            new String(pending, valueStart, end - valueStart, StandardCharsets.US_ASCII).trim());
  }

  /** Why the rest of the stream must not be forwarded; empty while it may be. */
  Optional<String> problem() {
    return problem;
  }

  /**
   * Discards the bytes of an incomplete event, and the problem, before the stream is resumed or
   * when it has ended.
   */
  void dropPartialEvent() {
    problem = Optional.empty();
    eventsSinceResume = 0;
    lineCheck.begin(eventCount > 0);
    bytesWithoutProgress = 0;
    length = 0;
    lineStart = 0;
    pendingId = Optional.empty();
    shrink();
  }

  /** Whether the bytes received so far end within an event. */
  boolean hasPartialEvent() {
    return length > 0;
  }

  /** Id of the last complete event; empty before the first one with an id. */
  Optional<String> lastId() {
    return lastId;
  }

  /** Number of complete events with a new id since the stream began or was resumed. */
  int eventsSinceResume() {
    return eventsSinceResume;
  }

  /** Number of complete events with a new id. */
  int eventCount() {
    return eventCount;
  }
}
