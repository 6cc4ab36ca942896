package org.basilport.claim;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.basilport.fake.FakeObjectStore;
import org.basilport.membership.Member;
import org.basilport.membership.MemberHealth;
import org.basilport.membership.MemberStatus;
import org.basilport.membership.MembershipView;
import org.basilport.misc.VirtualScheduler;
import org.basilport.platform.ObjectStore;
import org.junit.jupiter.api.Test;

class TimeSlotSweeperTest {
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  private final VirtualScheduler scheduler = new VirtualScheduler(START);
  private final FakeObjectStore store = new FakeObjectStore(scheduler);

  private static final class SoleMember implements MembershipView {
    private final Member self =
        new Member("i-1", 1, MemberStatus.SERVING, MemberHealth.ALIVE, "r", "d", "a", "p", 0, 0);

    @Override
    public Member self() {
      return self;
    }

    @Override
    public List<Member> members() {
      return List.of(self);
    }

    @Override
    public Optional<Member> owner(String key) {
      return Optional.of(self);
    }
  }

  private void write(String name, byte[] value) {
    store.write(name, value, ObjectStore.ABSENT);
    scheduler.runFor(Duration.ofSeconds(1));
  }

  /** Guards against one corrupted object that ends the sweeping of all others. */
  @Test
  void skipsAnObjectThatCannotBeRead() {
    long slot =
        START.minus(Duration.ofHours(26)).getEpochSecond() / RequestKey.SLOT_LENGTH.toSeconds();
    write(ClaimObject.PREFIX + slot + "/0", "odd".getBytes(StandardCharsets.UTF_8));
    write(ClaimObject.PREFIX + slot + "/1", new ClaimObject().encode());
    write(ClaimObject.PREFIX + (slot + 1) + "/0", new ClaimObject().encode());
    ClaimSweeper sweeper = new ClaimSweeper(store, scheduler, new SoleMember());
    sweeper.start();
    scheduler.runFor(Duration.ofHours(24));
    sweeper.stop();

    assertThat(closed(ClaimObject.PREFIX + slot + "/1")).isTrue();
    assertThat(closed(ClaimObject.PREFIX + (slot + 1) + "/0")).isTrue();
  }

  private boolean closed(String name) {
    return ClaimObject.decode(store.stored(name).orElseThrow().value()).closed();
  }
}
