package org.basilport.gateway.peer;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Members of the largest fleet whose registrations the store loses. */
class FleetMembersTest {
  private static final int INSTANCES = 350;
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  private final FleetMembers members = new FleetMembers("instance-0");

  private static List<InstanceEntry> entries(int count) {
    return IntStream.range(0, count)
        .mapToObj(
            i -> new InstanceEntry("instance-" + i, InetSocketAddress.createUnresolved("h", 1)))
        .toList();
  }

  /** Guards against other cells and shares of limits while lost registrations are written again. */
  @Test
  void keepsMembersWhoseRegistrationsTheStoreLost() {
    members.update(entries(INSTANCES), 0);
    members.partition(Set.of());
    members.retain(SECOND);
    members.update(entries(INSTANCES / 2), 2 * SECOND);

    assertThat(members.size()).isEqualTo(INSTANCES);
    assertThat(members.partition(Set.of())).isEmpty();
    members.update(entries(INSTANCES - 1), 9 * SECOND);
    assertThat(members.endRetention(10 * SECOND)).isFalse();
    assertThat(members.endRetention(14 * SECOND)).isTrue();
    assertThat(members.size()).isEqualTo(INSTANCES - 1);
  }

  /** Guards against keeping instances that left while the store lost nothing. */
  @Test
  void removesMembersThatAreNotListed() {
    members.update(entries(INSTANCES), 0);
    members.update(entries(INSTANCES / 2), SECOND);

    assertThat(members.size()).isEqualTo(INSTANCES / 2);
  }
}
