package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Requests that compete for the capacity of servers which a test opens and closes. */
class ContendedDispatchTest {
  private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long WAIT_NANOS = 1_000 * MILLISECOND;
  private static final int REJECTION_LIMIT = 4;

  private final FleetUsage usage = new FleetUsage(0);
  private final TestServers servers = new TestServers();
  private ContendedDispatch<String> dispatch = newDispatch(200);
  private long now;

  private ContendedDispatch<String> newDispatch(int limit) {
    return new ContendedDispatch<>(limit, REJECTION_LIMIT, usage, new SplittableRandom(1), 0);
  }

  private ReturnOrder.Arrival submit(String id, int priority, long workspace, long tokens) {
    return submit(id, new ContendingRequest(priority, workspace, 0, tokens));
  }

  private ReturnOrder.Arrival submit(String id, ContendingRequest demand) {
    return dispatch.submit(id, demand, 0, WAIT_NANOS, servers, now);
  }

  /** Opens capacity for a number of requests and returns those that are placed. */
  private List<String> free(int count) {
    servers.placed.clear();
    servers.free = count;
    dispatch.dispatch(servers, now);
    servers.free = 0;
    return servers.placed;
  }

  /** Places requests at a rate of two a second while another one waits. */
  private void placeTwoPerSecond() {
    servers.tooLarge.add("waiting");
    ContendingRequest patient = new ContendingRequest(0, 51, 0, 100);
    dispatch.submit("waiting", patient, 0, 100 * WAIT_NANOS, servers, now);
    for (int i = 0; i < 10; i++) {
      servers.free = 1;
      submit("placed-" + i, 0, 40 + i, 100);
      now += 500 * MILLISECOND;
    }
    servers.free = 0;
    dispatch.remove("waiting", servers, now);
  }

  /** Submits a request, refuses it while it waits and forgets it. */
  private void refuse(String id, long workspace) {
    submit(id, 0, workspace, 100);
    dispatch.remove(id, servers, now);
    dispatch.refuse(id, 0, now);
    dispatch.end(id, OptionalLong.empty(), now);
  }

  /** Guards against a workspace that receives more capacity because it sends more requests. */
  @Test
  void placesTheWorkspaceWithTheLeastUsageFirst() {
    usage.charge(1, 9_000, 0);
    usage.report("other", 1, Map.of(2L, 10_000L), 0);
    submit("one-1", 0, 1, 2_000);
    submit("one-2", 0, 1, 2_000);
    submit("two", 0, 2, 2_000);
    submit("three", 0, 3, 2_000);
    now += 300 * MILLISECOND;
    assertThat(free(4)).containsExactly("three", "one-1", "two", "one-2").inOrder();
  }

  /** Guards against urgent requests that wait because their workspace has used much. */
  @Test
  void holdsLessUrgentRequestsWhileAMoreUrgentOneWaits() {
    usage.charge(1, 100_000, 0);
    submit("background", 1, 2, 100);
    now += 60 * MILLISECOND;
    refuse("refused", 3);
    submit("urgent", 0, 1, 100);
    assertThat(free(1)).isEmpty();
    now += 300 * MILLISECOND;
    assertThat(free(1)).containsExactly("urgent");
    assertThat(free(1)).containsExactly("background");
  }

  /** Guards against delaying requests in a short queue that serves everybody. */
  @Test
  void holdsNothingWhileNobodyIsRefused() {
    usage.charge(1, 100_000, 0);
    submit("background", 1, 2, 100);
    now += 60 * MILLISECOND;
    submit("urgent", 0, 1, 100);
    assertThat(free(2)).containsExactly("urgent", "background").inOrder();
  }

  /**
   * Guards against delaying requests because of one that was rejected for another reason than
   * capacity, such as an evacuated data centre, and did not compete.
   */
  @Test
  void holdsNothingBecauseOfARequestThatWasNotSubmitted() {
    usage.charge(1, 100_000, 0);
    submit("background", 1, 2, 100);
    now += 60 * MILLISECOND;
    assertThat(dispatch.refuse("not-submitted", 7 * MILLISECOND, now)).isEqualTo(7 * MILLISECOND);
    submit("urgent", 0, 1, 100);
    assertThat(free(2)).containsExactly("urgent", "background").inOrder();
  }

  /** Guards against delaying requests while there is capacity for all. */
  @Test
  void placesAtOnceWhileCapacitySuffices() {
    usage.charge(1, 100_000, 0);
    usage.charge(2, 1, 0);
    servers.free = 3;
    submit("two", 0, 2, 100);
    submit("one", 0, 1, 100);
    assertThat(servers.placed).containsExactly("two", "one").inOrder();
  }

  /** Guards against one subject of a workspace that keeps the others waiting. */
  @Test
  void placesTheSubjectWithTheLeastUsageFirst() {
    servers.free = 1;
    submit("first", new ContendingRequest(0, 1, 7, 5_000));
    servers.free = 0;
    submit("same-subject", new ContendingRequest(0, 1, 7, 100));
    submit("other-subject", new ContendingRequest(0, 1, 8, 100));
    now += 300 * MILLISECOND;
    assertThat(free(2)).containsExactly("other-subject", "same-subject").inOrder();
  }

  /** Guards against refusing a request whose wait is unknown, and letting one wait in vain. */
  @Test
  void refusesAtOnceOnlyWhatFindsNoCapacityInTime() {
    for (int i = 0; i < 20; i++) {
      submit("unknown-" + i, 0, i, 100);
    }
    assertThat(servers.refused).isEmpty();

    dispatch = newDispatch(200);
    placeTwoPerSecond();
    for (int i = 0; i < 5; i++) {
      submit("known-" + i, 0, 60 + i, 100);
    }
    // At two a second, the fifth waits 2.5 s, more than twice its time limit.
    assertThat(servers.refused).containsExactly("known-4");
  }

  /** Guards against taking few arrivals for little capacity, and refusing a burst after them. */
  @Test
  void doesNotRefuseABurstAfterFewArrivals() {
    for (int i = 0; i < 10; i++) {
      servers.free = 1;
      submit("placed-" + i, 0, 50, 100);
      now += 500 * MILLISECOND;
    }
    servers.free = 0;
    for (int i = 0; i < 10; i++) {
      submit("burst-" + i, 0, 60 + i, 100);
    }
    assertThat(servers.refused).isEmpty();
  }

  /** Guards against callers that all return at once, and against a promise for an early return. */
  @Test
  void promisesCapacityInTurnAndOnlyToThoseThatWait() {
    placeTwoPerSecond();
    Set<Long> delays = new HashSet<>();
    for (int i = 0; i < 6; i++) {
      String id = "refused-" + i;
      submit(id, 0, 70 + i, 100);
      dispatch.remove(id, servers, now);
      delays.add(dispatch.refuse(id, MILLISECOND, now));
      dispatch.end(id, OptionalLong.empty(), now);
    }
    assertThat(delays).hasSize(6);
    assertThat(delays.stream().mapToLong(Long::longValue).max().orElse(0))
        .isAtLeast(2_500 * MILLISECOND);

    assertThat(submit("early", 0, 75, 100)).isEqualTo(ReturnOrder.Arrival.EARLY);
    dispatch.remove("early", servers, now);
    dispatch.refuse("early", MILLISECOND, now);
    dispatch.end("early", OptionalLong.empty(), now);
    now += 5_000 * MILLISECOND;
    assertThat(submit("in-time", 0, 75, 100)).isEqualTo(ReturnOrder.Arrival.RETURNED);
    assertThat(submit("newcomer", 0, 75, 100)).isEqualTo(ReturnOrder.Arrival.NEW);
    now += 300 * MILLISECOND;
    assertThat(free(1)).containsExactly("in-time");
  }

  /** Guards against a caller that gains capacity because it does not wait for its time. */
  @Test
  void placesAnEarlyRequestBehindAllOthersOfItsPriority() {
    submit("refused", 0, 1, 100);
    dispatch.remove("refused", servers, now);
    dispatch.refuse("refused", 2_000 * MILLISECOND, now);
    dispatch.end("refused", OptionalLong.empty(), now);
    usage.charge(2, 100_000, 0);
    submit("early", 0, 1, 100);
    submit("much-used", 0, 2, 100);
    now += 300 * MILLISECOND;
    assertThat(free(2)).containsExactly("much-used", "early").inOrder();
  }

  /** Guards against large requests that small ones overtake whenever capacity becomes free. */
  @Test
  void reservesCapacityForALargeRequestForABoundedTime() {
    servers.tooLarge.add("large");
    submit("large", 0, 1, 50_000);
    submit("small", 0, 2, 100);
    assertThat(servers.reserved).isEmpty();
    now += 300 * MILLISECOND;
    dispatch.dispatch(servers, now);
    assertThat(servers.reserved).containsExactly("large");

    now += 900 * MILLISECOND;
    dispatch.dispatch(servers, now);
    assertThat(servers.reserved).containsExactly("large");
    now += 200 * MILLISECOND;
    dispatch.dispatch(servers, now);
    assertThat(servers.reserved).isEmpty();
  }

  /** Guards against a reservation that outlives the request for which it was made. */
  @Test
  void releasesTheCapacityOfARequestThatLeaves() {
    servers.tooLarge.add("large");
    submit("large", 0, 1, 50_000);
    submit("small", 0, 2, 100);
    now += 300 * MILLISECOND;
    dispatch.dispatch(servers, now);
    dispatch.remove("large", servers, now);
    assertThat(servers.reserved).isEmpty();
  }

  /** Guards against callers that state a small output, and charges for what did not run. */
  @Test
  void chargesTheTokensThatWereUsed() {
    servers.free = 2;
    submit("understated", 0, 1, 100);
    submit("not-run", 0, 2, 9_000);
    dispatch.end("understated", OptionalLong.of(8_000), now);
    dispatch.end("not-run", OptionalLong.of(0), now);
    assertThat(usage.tokens(1, now)).isWithin(1).of(8_000);
    assertThat(usage.tokens(2, now)).isWithin(1).of(0);
  }

  /** Guards against memory that grows with the load, and against rejecting the wrong request. */
  @Test
  void refusesTheLastOfTheOrderWhenFull() {
    dispatch = newDispatch(2);
    usage.charge(1, 10_000, 0);
    submit("much-used", 0, 1, 100);
    submit("two", 0, 2, 100);
    submit("three", 0, 3, 100);
    assertThat(servers.refused).containsExactly("much-used");
    assertThat(dispatch.queue().requests()).containsExactly("two", "three");
  }

  /** Servers with capacity for a number of requests. */
  private static final class TestServers implements ContendedDispatch.Servers<String> {
    private final List<String> placed = new ArrayList<>();
    private final List<String> refused = new ArrayList<>();
    private final Set<String> reserved = new HashSet<>();
    private final Set<String> tooLarge = new HashSet<>();
    private int free;

    @Override
    public boolean place(String request) {
      if (free == 0 || tooLarge.contains(request)) {
        return false;
      }
      free--;
      placed.add(request);
      return true;
    }

    @Override
    public boolean reserve(String request) {
      return reserved.add(request);
    }

    @Override
    public void release(String request) {
      reserved.remove(request);
    }

    @Override
    public void refuse(String request) {
      refused.add(request);
    }
  }
}
