package org.basilport.config;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.basilport.event.EventSink;
import org.basilport.event.EventType;
import org.basilport.event.InvariantViolation;
import org.basilport.membership.GossipMembership;
import org.basilport.membership.Member;
import org.basilport.membership.MemberHealth;
import org.basilport.membership.MemberStatus;
import org.basilport.misc.VirtualScheduler;
import org.basilport.store.FakeObjectStore;
import org.junit.jupiter.api.Test;

class ConfigurationPropagationTest {
  private final VirtualScheduler scheduler = new VirtualScheduler(Instant.EPOCH);
  private final List<EventType> recorded = new ArrayList<>();
  private final EventSink events = (type, subject, arguments) -> recorded.add(type);
  private final Member self =
      new Member("a", 1, MemberStatus.STARTING, MemberHealth.ALIVE, "r", "d", "a", "p", 0, 0);
  private final ConfigurationPropagation propagation =
      new ConfigurationPropagation(
          new CommonConfigurationStore(new FakeObjectStore(), scheduler::now, events),
          new GossipMembership(self, List.of(), scheduler, new SplittableRandom(1), events),
          address -> {
            throw new IllegalStateException("there are no peers");
          },
          scheduler,
          events,
          () -> {});

  private static AcceptedConfiguration configuration(long number) {
    return new AcceptedConfiguration(
        number, "id", "ana", Instant.EPOCH, CommonConfigurationStoreTest.deployment("s"));
  }

  // Passes by the comparison in adopt and checks that the assertion notices.
  @Test
  void assertionFailsWhenANumberGoesBack() {
    propagation.adopt(configuration(5), "test");
    propagation.adopt(configuration(4), "test");
    assertThat(propagation.current().orElseThrow().number()).isEqualTo(5);
    assertThrows(InvariantViolation.class, () -> propagation.install(configuration(4), "test"));
    assertThat(propagation.current().orElseThrow().number()).isEqualTo(5);
    assertThat(recorded).contains(EventType.INVARIANT_VIOLATED);
  }
}
