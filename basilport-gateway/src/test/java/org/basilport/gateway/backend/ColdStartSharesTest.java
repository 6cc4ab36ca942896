package org.basilport.gateway.backend;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.basilport.gateway.config.ColdStart;
import org.basilport.gateway.config.ColdStartLimits;
import org.basilport.gateway.config.ForwardingConfiguration;
import org.basilport.gateway.config.ForwardingService;
import org.basilport.gateway.config.FrontendLimits;
import org.basilport.policy.dispatch.ColdStartHolders;
import org.junit.jupiter.api.Test;

/** Which servers count as cold, and what one instance may send to them. */
class ColdStartSharesTest {
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  /** Time by which the list of the two instances adds permits. */
  private static final long SETTLED = ColdStartHolders.SETTLING_NANOS;

  /** Half of 44, divided by two. */
  private static final int SHARE = 11;

  private final List<String> events = new ArrayList<>();
  private final ColdStartShares shares = shares(Optional.of(new ColdStartLimits(1.5, 5)));

  private ColdStartShares shares(Optional<ColdStartLimits> limits) {
    ColdStartShares created =
        new ColdStartShares(
            "i-1",
            limits,
            (type, subject, arguments) -> events.add(type + " " + Arrays.toString(arguments)));
    created.updateInstances(List.of("i-1", "i-2"), 0);
    return created;
  }

  private static ServerEntry entry(String service, long incarnation, long coldMillis) {
    return new ServerEntry(
        "server",
        incarnation,
        service,
        "v1",
        "127.0.0.1",
        1,
        "zone-1",
        6,
        false,
        Duration.ofMillis(coldMillis));
  }

  private static void update(ColdStartShares updated, long now, ServerEntry... entries) {
    ColdStart coldStart = new ColdStart(Duration.ofSeconds(1), 26);
    updated.update(
        List.of(entries),
        new ForwardingConfiguration(
            1,
            FrontendLimits.INITIAL,
            List.of(),
            Map.of(
                "limited",
                new ForwardingService("limited", 10, Optional.empty(), Optional.of(coldStart)),
                "other",
                new ForwardingService("other", 10, Optional.empty())),
            false,
            Map.of()),
        "store",
        now);
  }

  private static int acquired(ColdStartShares taken, ServerEntry entry, long now) {
    int count = 0;
    while (count < 100 && taken.tryAcquire(entry, now)) {
      count++;
    }
    return count;
  }

  /** Guards against more requests to a cold server than the share of this instance. */
  @Test
  void limitTheRequestsToAColdServer() {
    ServerEntry cold = entry("limited", 1, 1_000);
    update(shares, SETTLED, cold);

    assertThat(acquired(shares, cold, SETTLED)).isEqualTo(SHARE);
    assertThat(shares.permitsPlacement(cold, SETTLED)).isFalse();
    assertThat(shares.nanosToPlacement(cold, SETTLED)).isEqualTo(SECOND);
    assertThat(acquired(shares, cold, SETTLED + SECOND)).isEqualTo(100);
    assertThat(shares.sends().getCount()).isEqualTo(SHARE);
    assertThat(shares.deferred().getCount()).isEqualTo(1);
    assertThat(events).containsExactly("SERVER_COLD [server, 1, 1000, 11, store]");
  }

  /** Guards against other decisions where the settings or the service ask for no limit. */
  @Test
  void changeNothingWithoutTheSettings() {
    ColdStartShares unlimited = shares(Optional.empty());
    for (ServerEntry cold : List.of(entry("limited", 1, 60_000), entry("other", 1, 60_000))) {
      ColdStartShares tested = cold.service().equals("limited") ? unlimited : shares;
      update(tested, 0, cold);
      assertThat(tested.isCold(cold, 0)).isFalse();
      assertThat(tested.permitsPlacement(cold, 0)).isTrue();
      assertThat(tested.nanosToPlacement(cold, 0)).isEqualTo(0);
      assertThat(acquired(tested, cold, 0)).isEqualTo(100);
      assertThat(tested.sends().getCount()).isEqualTo(0);
    }
    assertThat(events).isEmpty();
  }

  /** Guards against a server that stays cold because the same entry is read again. */
  @Test
  void endWithTheTimeThatTheEntryStated() {
    ServerEntry cold = entry("limited", 1, 1_000);
    update(shares, 0, cold);
    update(shares, 900 * MILLI, cold);

    assertThat(shares.isCold(cold, 999 * MILLI)).isTrue();
    assertThat(shares.isCold(cold, SECOND)).isFalse();
  }

  /** Guards against a server that turns cold again and is sent its usual load. */
  @Test
  void applyToAServerThatTurnsColdAgain() {
    update(shares, 0, entry("limited", 1, 0));
    ServerEntry again = entry("limited", 1, 800);
    assertThat(shares.isCold(again, SETTLED)).isFalse();
    assertThat(acquired(shares, again, SETTLED)).isEqualTo(100);
    update(shares, SETTLED, again);

    assertThat(shares.isCold(again, SETTLED + 799 * MILLI)).isTrue();
    assertThat(acquired(shares, again, SETTLED)).isEqualTo(0);
  }

  /** Guards against requests to a start of a server of which no entry was read. */
  @Test
  void takeAnUnknownStartForCold() {
    update(shares, 0, entry("limited", 1, 0));
    ServerEntry next = entry("limited", 2, 0);
    assertThat(shares.isCold(next, 0)).isTrue();
    assertThat(acquired(shares, next, SETTLED)).isEqualTo(SHARE);
    update(shares, SETTLED, next);
    assertThat(shares.isCold(next, SETTLED)).isFalse();
  }

  /** Guards against permits that an entry which is missing for a moment frees. */
  @Test
  void keepUsedPermitsWhileAnEntryIsMissing() {
    ServerEntry cold = entry("limited", 1, 5_000);
    update(shares, SETTLED, cold);
    acquired(shares, cold, SETTLED);
    update(shares, SETTLED + 100 * MILLI);
    update(shares, SETTLED + 200 * MILLI, cold);

    assertThat(acquired(shares, cold, SETTLED + SECOND)).isEqualTo(0);
  }

  /** Guards against the full load for servers of a data centre that is used again. */
  @Test
  void applyToADataCentreThatIsUsedAgain() {
    ServerEntry server = entry("limited", 1, 0);
    update(shares, 0, server);
    shares.markCold("zone-2", 2 * SECOND, 0);
    assertThat(shares.isCold(server, 0)).isFalse();
    shares.markCold("zone-1", 2 * SECOND, 0);
    assertThat(shares.isCold(server, 2 * SECOND - 1)).isTrue();

    ServerEntry next = entry("limited", 2, 0);
    update(shares, SECOND, next);
    assertThat(shares.isCold(next, 2 * SECOND - 1)).isTrue();
    assertThat(shares.isCold(next, 2 * SECOND)).isFalse();
  }
}
