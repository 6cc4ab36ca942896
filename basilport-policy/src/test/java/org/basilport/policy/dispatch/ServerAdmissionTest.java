package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.basilport.policy.dispatch.ServerAdmission.State;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the decision whether a server takes new requests. */
class ServerAdmissionTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  private final ServerAdmission admission = new ServerAdmission();

  @Nested
  class Pauses {
    /** Guards against requests within a pause, and against a pause without an end. */
    @Test
    void endAtTheirTime() {
      assertThat(admission.pause().pauseUntil(3 * SECOND, 0)).isTrue();

      assertThat(admission.state(3 * SECOND - 1)).isEqualTo(State.PAUSED);
      assertThat(admission.nanosToAccept(SECOND).getAsLong()).isEqualTo(2 * SECOND);
      assertThat(admission.state(3 * SECOND)).isEqualTo(State.OPEN);
      assertThat(admission.nanosToAccept(3 * SECOND).getAsLong()).isEqualTo(0);
    }

    /** Guards against a later answer that shortens a pause. */
    @Test
    void becomeLongerOnly() {
      admission.pause().pauseUntil(3 * SECOND, 0);

      assertThat(admission.pause().pauseUntil(2 * SECOND, SECOND)).isFalse();
      assertThat(admission.pause().recordAnswer(SECOND)).isFalse();
      assertThat(admission.state(3 * SECOND - 1)).isEqualTo(State.PAUSED);
      assertThat(admission.pause().pauseUntil(4 * SECOND, SECOND)).isTrue();
      assertThat(admission.state(4 * SECOND - 1)).isEqualTo(State.PAUSED);
    }

    /** Guards against all waiting requests at once at the end of a pause. */
    @Test
    void areFollowedByOneRequest() {
      admission.pause().pauseUntil(SECOND, 0);
      admission.recordPlaced(SECOND);

      assertThat(admission.state(SECOND)).isEqualTo(State.PAUSED);
      assertThat(admission.pause().recordAnswer(SECOND + 1)).isTrue();
      assertThat(admission.state(SECOND + 1)).isEqualTo(State.OPEN);
    }

    /** Guards against a server that is lost because the first request after a pause is lost. */
    @Test
    void areFollowedByAnotherRequestIfTheFirstIsNotAnswered() {
      admission.pause().pauseUntil(SECOND, 0);
      admission.recordPlaced(SECOND);

      assertThat(admission.state(2 * SECOND)).isEqualTo(State.PAUSED);
      assertThat(admission.state(2 * SECOND + 1)).isEqualTo(State.OPEN);
    }

    /** Guards against a second pause that is not kept because the first one has ended. */
    @Test
    void mayFollowEachOther() {
      admission.pause().pauseUntil(SECOND, 0);
      admission.recordPlaced(SECOND);

      assertThat(admission.pause().pauseUntil(5 * SECOND, SECOND + 1)).isTrue();
      assertThat(admission.state(4 * SECOND)).isEqualTo(State.PAUSED);
    }
  }

  @Nested
  class Reasons {
    /** Guards against a departure that a pause or its end hides. */
    @Test
    void neverEndForALeavingServer() {
      admission.pause().pauseUntil(SECOND, 0);
      admission.markLeaving();

      assertThat(admission.state(0)).isEqualTo(State.LEAVING);
      assertThat(admission.state(2 * SECOND)).isEqualTo(State.LEAVING);
      assertThat(admission.nanosToAccept(0).isPresent()).isFalse();
    }

    /** Guards against taking a limit, or the first request after a pause, for a refusal of all. */
    @Test
    void refuseWhatIsPlacedOnlyIfTheServerPausesOrLeaves() {
      admission.limitRate(new SharedRateLimit(0.25, 1, 0, 0));
      admission.pause().pauseUntil(SECOND, 0);
      assertThat(admission.refusesAll(0)).isTrue();
      admission.recordPlaced(SECOND);
      assertThat(admission.refusesAll(SECOND)).isFalse();
      admission.markLeaving();
      assertThat(admission.refusesAll(SECOND)).isTrue();
    }

    /** Guards against a request at the end of a pause that the named limit does not permit. */
    @Test
    void lastAsLongAsTheLastOfThem() {
      admission.pause().pauseUntil(SECOND, 0);
      admission.limitRate(new SharedRateLimit(0.25, 1, 0, 0));

      assertThat(admission.nanosToAccept(0).getAsLong()).isEqualTo(4 * SECOND);
      assertThat(admission.state(2 * SECOND)).isEqualTo(State.LIMITED);
      assertThat(admission.state(4 * SECOND)).isEqualTo(State.OPEN);
    }

    /** Guards against a pause that is taken for a failure. */
    @Test
    void tellPausesFromFailures() {
      admission.pause().pauseUntil(SECOND, 0);
      assertThat(admission.health().failureRate()).isEqualTo(0.0);
      admission.health().recordUnreachable(2 * SECOND);

      assertThat(admission.state(2 * SECOND)).isEqualTo(State.SUSPENDED);
    }
  }
}
