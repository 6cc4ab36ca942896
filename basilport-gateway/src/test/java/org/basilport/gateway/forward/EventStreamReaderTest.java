package org.basilport.gateway.forward;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.basilport.policy.dispatch.ResponseBufferBudget;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the splitting of streams at all kinds of boundaries. */
class EventStreamReaderTest {
  private final EventStreamReader reader = new EventStreamReader();

  private String read(String text) {
    ByteBuf completeEvents = reader.read(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    return completeEvents.toString(StandardCharsets.UTF_8);
  }

  /**
   * Guards against delivering a part of an event twice when a stream is resumed at another server.
   */
  @Test
  void returnsCompleteEventsOnly() {
    assertThat(read("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
    assertThat(reader.lastId()).hasValue("1");
    assertThat(reader.hasPartialEvent()).isTrue();
    assertThat(read("ta: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
    assertThat(reader.lastId()).hasValue("2");
    assertThat(reader.eventCount()).isEqualTo(2);
  }

  /** Guards against using the id of an incomplete event. */
  @Test
  void discardsPartialEvent() {
    read("id: 1\ndata: a\n\nid: 2\ndata");
    reader.dropPartialEvent();

    assertThat(reader.lastId()).hasValue("1");
    assertThat(read("id: 2\ndata: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
  }

  /** Guards against rejecting lines that end with CRLF. */
  @Test
  void acceptsBothLineTerminators() {
    assertThat(read("id:7\r\ndata: a\r\n\r\n")).isEqualTo("id:7\r\ndata: a\r\n\r\n");
    assertThat(reader.lastId()).hasValue("7");
  }

  /** Guards against delivering an event twice when a server starts again at the beginning. */
  @Test
  void rejectsAnEventThatWasRead() {
    read("id: 9\ndata: a\n\nid: 10\ndata: b\n\n");

    assertThat(read("id: 11\ndata: c\n\nid: 9\ndata: a\n\n")).isEqualTo("id: 11\ndata: c\n\n");
    assertThat(reader.problem()).hasValue("event 9 after event 11");
    assertThat(reader.lastId()).hasValue("11");
  }

  /** Guards against taking comments and empty events for the progress of a generation. */
  @Test
  void countsEventsWithANewIdOnly() {
    assertThat(read(": comment\n\n\n\ndata: no id\n\n")).isNotEmpty();
    assertThat(reader.eventCount()).isEqualTo(0);
    read("id: 1\ndata: a\n\n");
    assertThat(reader.eventCount()).isEqualTo(1);
  }

  /** Guards against a stream without end that never brings a new event. */
  @Test
  void rejectsEndlessBytesWithoutANewEvent() {
    read("id: 1\ndata: a\n\n");
    for (int i = 0; i < 100_000 && reader.problem().isEmpty(); i++) {
      read(": comment\n\n");
    }
    assertThat(reader.problem()).isPresent();
  }

  /** Guards against errors at a boundary between any two bytes. */
  @Test
  void acceptsSingleBytes() {
    StringBuilder passed = new StringBuilder();
    String stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    for (char c : stream.toCharArray()) {
      passed.append(read(String.valueOf(c)));
    }

    assertThat(passed.toString()).isEqualTo(stream);
    assertThat(reader.hasPartialEvent()).isFalse();
  }

  @Nested
  class Budgets {
    private static final int READERS = 400;
    private static final long LIMIT_BYTES = 4_000_000;
    private static final long GUARANTEED_BYTES = 32_768;

    private final ResponseBufferBudget budget = new ResponseBufferBudget(LIMIT_BYTES);

    /** Load: events without end on many streams at once; each is below the limit of one event. */
    @Test
    void boundIncompleteEventsOfAllStreams() {
      ByteBuf part = Unpooled.copiedBuffer("x".repeat(4_096), StandardCharsets.UTF_8);
      List<EventStreamReader> readers = new ArrayList<>();
      for (int i = 0; i < READERS; i++) {
        EventStreamReader endless = new EventStreamReader(budget);
        readers.add(endless);
        while (endless.problem().isEmpty()) {
          endless.read(part.duplicate());
        }
      }
      assertThat(budget.usedBytes()).isAtMost(LIMIT_BYTES + READERS * GUARANTEED_BYTES);

      EventStreamReader sound = new EventStreamReader(budget);
      String event = "id: 1\ndata: " + "a".repeat(8_000) + "\n\n";
      ByteBuf events = sound.read(Unpooled.copiedBuffer(event, StandardCharsets.UTF_8));
      assertThat(events.toString(StandardCharsets.UTF_8)).isEqualTo(event);

      readers.forEach(EventStreamReader::dropPartialEvent);
      assertThat(budget.usedBytes()).isEqualTo(0);
    }

    /** Guards against memory of a long event that its stream keeps until its end. */
    @Test
    void areReturnedWhenTheEventIsComplete() {
      EventStreamReader counted = new EventStreamReader(budget);
      for (int i = 0; i < 25; i++) {
        counted.read(Unpooled.copiedBuffer("x".repeat(4_096), StandardCharsets.UTF_8));
      }
      assertThat(budget.usedBytes()).isAtLeast(100_000);
      ByteBuf events = counted.read(Unpooled.copiedBuffer("\nid: 1\n\n", StandardCharsets.UTF_8));

      assertThat(events.readableBytes()).isEqualTo(25 * 4_096 + 8);
      assertThat(budget.usedBytes()).isEqualTo(0);
    }
  }
}
