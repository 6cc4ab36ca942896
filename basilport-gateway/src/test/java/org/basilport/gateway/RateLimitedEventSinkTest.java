package org.basilport.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.junit.jupiter.api.Test;

/** Records more events than the limit permits. */
class RateLimitedEventSinkTest {

  /** Guards against logging that grows with the load, and against unreported dropped events. */
  @Test
  void dropsAndCountsEventsAboveTheLimit() throws Exception {
    List<EventType> recorded = new ArrayList<>();
    RateLimitedEventSink events =
        new RateLimitedEventSink((type, subject, arguments) -> recorded.add(type));
    for (int i = 0; i < 5_000; i++) {
      events.record(EventType.REQUEST_SENT, EventSubject.NONE);
    }
    assertThat(recorded.size()).isLessThan(1_500);
    Thread.sleep(1_050);
    events.record(EventType.REQUEST_SENT, EventSubject.NONE);

    assertThat(recorded).contains(EventType.EVENTS_DROPPED);
  }
}
