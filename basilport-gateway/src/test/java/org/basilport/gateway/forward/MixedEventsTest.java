package org.basilport.gateway.forward;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Cuts an event at each byte and lets the whole head and body of another answer follow. */
class MixedEventsTest {
  private static final String BEFORE = "id: 1\ndata: a\n\n: comment\n\nid: 2\ndata: b\n\n";

  private static final List<String> EVENTS =
      List.of(
          "id: 3\ndata: some text\n\n",
          "data: two\ndata: lines\nid: 3\nretry: 100\n\n",
          "event: token\nid: 3\ndata\n\n",
          "weights: 7\nother-field: 8\nid: 3\ndata: HTTP/1.1 200 OK\n\n",
          ": comment\nid: 3\ndata:\n\n",
          ": comment\n\n");

  /** Fields of heads, each of which has one that is no field of an event. */
  private static final List<String> FIELDS =
      List.of(
          "id: r1\r\nseal: s\r\ncontent-length: 3\r\n",
          "seal: s\r\ncontent-length: 3\r\nid: r1\r\n",
          "content-length: 3\r\n",
          "Content-Length: 3\r\n",
          "content-length: 3\r\nConnection: close\r\n");

  private static final String ID_ONLY = "id: r1\r\n";

  private static final List<String> BODIES = List.of("", "ODD", "ODD\n\n", "id: 4\ndata: c\n\n");

  private static String read(EventStreamReader reader, String text) {
    return reader
        .read(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8))
        .toString(StandardCharsets.UTF_8);
  }

  private static String readInTwo(String text, int split) {
    EventStreamReader reader = new EventStreamReader();
    return read(reader, text.substring(0, split)) + read(reader, text.substring(split));
  }

  /** Guards against the head of another answer that is passed on as an event. */
  @Test
  void areNeverPassedOn() {
    List<String> fields = new ArrayList<>(FIELDS);
    fields.add(ID_ONLY);
    fields.add("");
    playAll(BEFORE, EVENTS, fields);
  }

  /** Guards against the same where the lines of events end as those of a head do. */
  @Test
  void areNeverPassedOnInStreamsWithCarriageReturns() {
    List<String> fields = new ArrayList<>(FIELDS);
    fields.add(ID_ONLY);
    List<String> events = EVENTS.stream().map(event -> event.replace("\n", "\r\n")).toList();
    playAll(BEFORE.replace("\n", "\r\n"), events, fields);
  }

  /** Guards against the same before any event has shown how the stream looks. */
  @Test
  void areNeverPassedOnAsFirstEvents() {
    playAll("", EVENTS, FIELDS.subList(2, FIELDS.size()));
  }

  private static void playAll(String before, List<String> events, List<String> fields) {
    List<String> mixed = new ArrayList<>();
    int plays = 0;
    for (String event : events) {
      for (String head : fields) {
        for (String body : BODIES) {
          for (int cut = 0; cut < event.length(); cut++) {
            String stream =
                before + event.substring(0, cut) + "HTTP/1.1 500 S\r\n" + head + "\r\n" + body;
            for (int split = before.length(); split <= stream.length(); split++) {
              plays++;
              String passedOn = readInTwo(stream, split);
              if (!passedOn.equals(before)) {
                mixed.add(passedOn.substring(before.length()));
              }
            }
          }
        }
      }
    }
    assertWithMessage("%s mixed events in %s plays, the first ones", mixed.size(), plays)
        .that(mixed.subList(0, Math.min(5, mixed.size())))
        .isEmpty();
  }

  /** Guards against refusing events that only look like another answer. */
  @ParameterizedTest
  @ValueSource(strings = {"\n", "\r\n"})
  void areNotSeenInWholeEvents(String lineEnd) {
    String stream = (BEFORE + EVENTS.get(3) + EVENTS.get(5)).replace("\n", lineEnd);
    for (int split = 0; split <= stream.length(); split++) {
      assertThat(readInTwo(stream, split)).isEqualTo(stream);
    }
  }

  /** Guards against refusing servers that end the lines of comments and events differently. */
  @Test
  void areNotSeenInDifferentLineEnds() {
    String stream = ": ping\r\n\r\nid: 1\ndata: a\n\nid: 2\r\ndata: b\n\n";
    assertThat(readInTwo(stream, 0)).isEqualTo(stream);
  }

  /** Guards against refusing events whose ids are no numbers. */
  @Test
  void areNotSeenInIdsThatAreNoNumbers() {
    String stream = "id: a-1\ndata: a\n\nid: a-2\ndata: b\n\n";
    assertThat(readInTwo(stream, 0)).isEqualTo(stream);
  }
}
