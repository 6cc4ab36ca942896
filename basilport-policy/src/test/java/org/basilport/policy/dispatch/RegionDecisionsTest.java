package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.basilport.policy.dispatch.SendCheck.Conditions;
import org.basilport.policy.dispatch.SendCheck.Result;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests where requests with home regions may run, and which addresses their callers get. */
class RegionDecisionsTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  @Nested
  class Requests {
    private final AllowedRegions route = AllowedRegions.of(List.of("r1", "r2"));

    /** Guards against a request that leaves the regions of its route or those of its workspace. */
    @Test
    void stayInTheRegionsOfRouteAndWorkspace() {
      AllowedRegions both = route.and(AllowedRegions.of(List.of("r2", "r3")));

      assertThat(both.permits("r2")).isTrue();
      assertThat(both.permits("r1")).isFalse();
      assertThat(both.permits("r3")).isFalse();
      assertThat(AllowedRegions.ALL.and(route)).isEqualTo(route);
      assertThat(route.and(AllowedRegions.ALL)).isEqualTo(route);
    }

    /** Guards against taking regions without a common one for no restriction. */
    @Test
    void goNowhereWithoutACommonRegion() {
      AllowedRegions none = route.and(AllowedRegions.of(List.of("r3")));

      assertThat(none.restricted()).isTrue();
      assertThat(none.permits("r1")).isFalse();
      assertThat(none.permits("r3")).isFalse();
    }

    /** Guards against sending a request to a data centre whose region is not known. */
    @Test
    void doNotGoToAnUnknownRegion() {
      assertThat(route.permits("")).isFalse();
      assertThat(AllowedRegions.of(List.of("")).permits("")).isFalse();
      assertThat(AllowedRegions.ALL.permits("")).isTrue();
    }

    /** Guards against a send to a server that the regions exclude since it was chosen. */
    @Test
    void areCheckedBeforeTheSend() {
      assertThat(
              SendCheck.check(
                  new Conditions(
                      true, 500, false, false, 0, 4_600, false, true, false, false, false, false)))
          .isEqualTo(Result.SERVER_OUTSIDE_REGIONS);
    }
  }

  @Nested
  class Addresses {
    private final AllowedRegions home = AllowedRegions.of(List.of("r1"));

    private InstanceAddress instance(String region, boolean ready, long lastRunNanos) {
      return new InstanceAddress(
          region + ready + lastRunNanos, region, ready, OptionalLong.of(lastRunNanos));
    }

    private List<String> select(AllowedRegions regions, String caller, InstanceAddress... all) {
      return InstanceAddressSelector.select(List.of(all), regions, caller, SECOND).addresses();
    }

    /** Guards against callers of a host with home regions that are sent elsewhere. */
    @Test
    void areThoseOfHomeAndCaller() {
      InstanceAddress inHome = instance("r1", true, 0);
      InstanceAddress atCaller = instance("r2", true, 0);
      InstanceAddress elsewhere = instance("r3", true, 0);
      InstanceAddress unknown = instance("", true, 0);

      assertThat(select(home, "r2", inHome, atCaller, elsewhere, unknown))
          .containsExactly(inHome.address(), atCaller.address())
          .inOrder();
      assertThat(select(home, "", inHome, unknown)).containsExactly(inHome.address());
      assertThat(select(AllowedRegions.ALL, "r2", inHome, atCaller, elsewhere, unknown)).hasSize(4);
    }

    /** Guards against a host without any address while some instance is ready. */
    @Test
    void areThoseOfOtherRegionsIfNoneIsReady() {
      InstanceAddress elsewhere = instance("r3", true, 0);
      InstanceAddressSelector.Selection selection =
          InstanceAddressSelector.select(
              List.of(instance("r1", false, 0), elsewhere), home, "r2", SECOND);

      assertThat(selection.addresses()).containsExactly(elsewhere.address());
      assertThat(selection.outsideHome()).isTrue();
      assertThat(InstanceAddressSelector.select(List.of(), home, "r2", SECOND).outsideHome())
          .isFalse();
    }

    /** Guards against a list that outlives a pause of the process that answers. */
    @Test
    void areThoseOfInstancesThatRanLately() {
      InstanceAddress gone = instance("r1", true, -6 * SECOND);
      InstanceAddress never = new InstanceAddress("never", "r1", true, OptionalLong.empty());

      assertThat(select(home, "", gone, never)).isEmpty();
    }
  }

  @Nested
  class RunTimes {
    private final LastRunTime lastRun = new LastRunTime(new SplittableRandom(1));

    /** Guards against taking the receipt of a late reply for a time at which its sender ran. */
    @Test
    void areThoseOfTheQuestions() {
      lastRun.onReport(1);
      long question = lastRun.nextQuestion(SECOND).orElseThrow();
      lastRun.nextQuestion(2 * SECOND);
      assertThat(lastRun.nanos().isPresent()).isFalse();

      lastRun.onReply(question);
      assertThat(lastRun.nanos().getAsLong()).isEqualTo(SECOND);
      assertThat(lastRun.nextQuestion(SECOND + 1).isPresent()).isFalse();
    }

    /** Guards against replies that are repeated, invented or meant for a former incarnation. */
    @Test
    void areNotRenewedByOtherReplies() {
      lastRun.onReport(1);
      long question = lastRun.nextQuestion(SECOND).orElseThrow();
      lastRun.onReply(question + 1);
      assertThat(lastRun.nanos().isPresent()).isFalse();

      lastRun.onReport(2);
      lastRun.onReply(question);
      assertThat(lastRun.nanos().isPresent()).isFalse();
    }
  }
}
