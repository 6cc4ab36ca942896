package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.basilport.policy.dispatch.StaleWorkSelector.ChoiceListener;
import org.junit.jupiter.api.Test;

/** Choice of servers by reported work of a known age. */
class StaleWorkSelectorTest {
  private static final long FIRST_TOKEN_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long AGE_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long DURATION_NANOS = TimeUnit.SECONDS.toNanos(4);
  private static final RequestDemand DEMAND = RequestDemand.generation(300, 200);

  private final SplittableRandom random = new SplittableRandom(1);

  private StaleWorkSelector calls(long ageNanos) {
    return new StaleWorkSelector(
        new LeastOccupiedSelector("a", random),
        now -> ageNanos,
        () -> DURATION_NANOS,
        ChoiceListener.NONE,
        random);
  }

  private StaleWorkSelector generations() {
    return new StaleWorkSelector(
        new EarliestFirstTokenSelector("a", FIRST_TOKEN_LIMIT_NANOS, random),
        now -> AGE_NANOS,
        () -> DURATION_NANOS,
        ChoiceListener.NONE,
        random);
  }

  /** Servers of which others have reported the given numbers of requests. */
  private static List<ServerLoad> servers(int slots, int... requests) {
    List<ServerLoad> servers = new ArrayList<>();
    for (int reported : requests) {
      ServerLoad server = new ServerLoad("s" + servers.size(), "a", slots, 27_000);
      server.setPeerWork(new OutstandingWork(reported, 0, reported * 500L), 0);
      servers.add(server);
    }
    return servers;
  }

  private static Map<String, Integer> choices(
      ServerSelector selector, List<ServerLoad> servers, RequestDemand demand, int count) {
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < count; i++) {
      Optional<ServerLoad> chosen = selector.select(servers, demand, 0);
      counts.merge(chosen.orElseThrow().id(), 1, Integer::sum);
    }
    return counts;
  }

  /**
   * Guards against instances that all choose the same server until the next report: 73 instances
   * that see the same old figures make one choice each.
   */
  @Test
  void spreadsChoicesByOldFigures() {
    List<ServerLoad> servers = servers(24, 6, 8, 8, 10);
    Map<String, Integer> counts = choices(calls(AGE_NANOS), servers, DEMAND, 73);
    assertThat(counts).hasSize(4);
    assertThat(counts.get("s0")).isLessThan(40);
    assertThat(counts.get("s0")).isGreaterThan(counts.get("s3"));

    Map<String, Integer> former =
        choices(new LeastOccupiedSelector("a", random), servers, DEMAND, 73);
    assertThat(former.get("s0")).isGreaterThan(60);
  }

  /** Guards against a random choice where the figures are fresh enough to name the best server. */
  @Test
  void choosesTheBestServerByFreshFigures() {
    assertThat(choices(calls(0), servers(24, 6, 8, 8, 10), DEMAND, 50)).containsExactly("s0", 50);
  }

  /** Guards against one server that all instances choose when the fleet is idle. */
  @Test
  void spreadsChoicesWithoutKnownWork() {
    assertThat(choices(calls(0), servers(24, 0, 0, 0, 0), DEMAND, 50)).hasSize(4);
  }

  /** Guards against choices outside the limits of occupancy, slots, memory and first token. */
  @Test
  void keepsTheBoundsOfTheServers() {
    assertThat(calls(AGE_NANOS).select(servers(6, 9, 10), RequestDemand.SERVICE_CALL, 0)).isEmpty();
    assertThat(generations().select(servers(24, 24, 30), DEMAND, 0)).isEmpty();
    assertThat(generations().select(servers(100, 48), DEMAND, 0)).isEmpty();
    ServerLoad prefilling = new ServerLoad("prefilling", "a", 24, 27_000);
    prefilling.addOwnWork(new OutstandingWork(2, 9_000, 10_000));
    assertThat(generations().select(List.of(prefilling), DEMAND, 0)).isEmpty();
    assertThat(generations().select(List.of(), DEMAND, 0)).isEmpty();

    List<ServerLoad> oneFree = servers(24, 24, 24, 23);
    assertThat(choices(generations(), oneFree, DEMAND, 50)).containsExactly("s2", 50);
  }

  /** Guards against equal shares for a machine that takes 2.5 times as long. */
  @Test
  void sendsLessToSlowServers() {
    List<ServerLoad> servers = servers(24, 8, 8);
    servers.get(1).speed().observeSlowdown(250, 0);
    Map<String, Integer> counts = choices(calls(AGE_NANOS), servers, DEMAND, 200);
    assertThat(counts.getOrDefault("s1", 0)).isLessThan(60);
  }

  /** Guards against a random choice that is worse than the known work since reports are lost. */
  @Test
  void usesTheOtherSelectorAboveTheAge() {
    List<ServerLoad> servers = servers(24, 0, 0);
    ServerSelector first = (candidates, demand, now) -> Optional.of(servers.get(0));
    ServerSelector second = (candidates, demand, now) -> Optional.of(servers.get(1));
    ServerSelector selector = StaleWorkSelector.upTo(10, now -> now, first, second);
    assertThat(selector.select(servers, DEMAND, 10)).hasValue(servers.get(0));
    assertThat(selector.select(servers, DEMAND, 11)).hasValue(servers.get(1));
  }

  /**
   * Guards against figures that count as fresh because a report about unchanged work is ignored.
   */
  @Test
  void measuresTheAgeOfReports() {
    PeerReportAges ages = new PeerReportAges();
    assertThat(ages.heartbeatNanos(0)).isEqualTo(0);
    ages.record("b", 0);
    ages.record("c", TimeUnit.MILLISECONDS.toNanos(200));
    long now = TimeUnit.MILLISECONDS.toNanos(400);
    assertThat(ages.heartbeatNanos(now)).isEqualTo(TimeUnit.MILLISECONDS.toNanos(300));
    assertThat(ages.changeNanos(now)).isEqualTo(TimeUnit.MILLISECONDS.toNanos(20));

    ages.record("c", TimeUnit.SECONDS.toNanos(3));
    now = TimeUnit.SECONDS.toNanos(4);
    assertThat(ages.changeNanos(now))
        .isEqualTo((TimeUnit.SECONDS.toNanos(4) + TimeUnit.MILLISECONDS.toNanos(20)) / 2);
    now = TimeUnit.SECONDS.toNanos(6);
    assertThat(ages.heartbeatNanos(now)).isEqualTo(TimeUnit.SECONDS.toNanos(3));
  }
}
