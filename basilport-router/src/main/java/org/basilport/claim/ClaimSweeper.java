package org.basilport.claim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.basilport.membership.MembershipView;
import org.basilport.misc.Cancellable;
import org.basilport.misc.Scheduler;
import org.basilport.platform.ObjectStore;
import org.basilport.platform.StoredObject;

/**
 * Closes claim objects after a day and removes them after 30 days. One instance does so; two that
 * both believe to be the owner have the same effect.
 */
public final class ClaimSweeper {
  private static final Duration KEPT = Duration.ofHours(24);
  private static final Duration CLOSED = Duration.ofDays(30);
  private static final Duration TICK = Duration.ofMinutes(1);
  // A new owner looks this far back, which covers an outage during which nobody swept.
  private static final Duration CATCH_UP = Duration.ofHours(6);
  private static final String OWNERSHIP_KEY = "claims";

  private final ObjectStore store;
  private final Scheduler control;
  private final MembershipView membership;
  private final Cursor closing = new Cursor(KEPT);
  private final Cursor removal = new Cursor(CLOSED);
  private Cancellable ticks = () -> {};

  /** Creates a sweeper that does nothing until its start. */
  public ClaimSweeper(ObjectStore store, Scheduler control, MembershipView membership) {
    this.store = store;
    this.control = control;
    this.membership = membership;
  }

  /** Starts sweeping. */
  public void start() {
    ticks = control.scheduleRepeating(TICK, this::tick);
  }

  /** Stops sweeping. */
  public void stop() {
    ticks.cancel();
  }

  private void tick() {
    boolean owner =
        membership
            .owner(OWNERSHIP_KEY)
            .filter(member -> member.id().equals(membership.self().id()))
            .isPresent();
    if (owner) {
      closing.advance(this::close);
      removal.advance(this::remove);
    }
  }

  private CompletableFuture<Void> close(StoredObject object) {
    ClaimObject content = ClaimObject.decode(object.value());
    if (content.closed()) {
      return CompletableFuture.completedFuture(null);
    }
    content.close();
    return store
        .write(object.name(), content.encode(), object.version())
        .thenApply(version -> null);
  }

  private CompletableFuture<Void> remove(StoredObject object) {
    return store.delete(object.name(), object.version());
  }

  /** The next slot to sweep; it stays when a call fails. */
  private final class Cursor {
    private final Duration age;
    private long slot = -1;
    private boolean busy;

    Cursor(Duration age) {
      this.age = age;
    }

    /** Sweeps one slot of the age, if there is one. */
    void advance(Function<StoredObject, CompletableFuture<Void>> action) {
      long now = control.now().getEpochSecond();
      long newest = (now - age.toSeconds()) / RequestKey.SLOT.toSeconds() - 1;
      long oldest = newest - CATCH_UP.toSeconds() / RequestKey.SLOT.toSeconds();
      slot = slot < 0 ? oldest : slot;
      if (busy || slot > newest) {
        return;
      }
      busy = true;
      store
          .list(ClaimObject.PREFIX + slot + "/")
          .thenCompose(names -> sweep(names, action))
          .whenComplete(
              (done, failure) ->
                  control.execute(
                      () -> {
                        busy = false;
                        slot += failure == null ? 1 : 0;
                      }));
    }

    private CompletableFuture<Void> sweep(
        List<String> names, Function<StoredObject, CompletableFuture<Void>> action) {
      List<CompletableFuture<Void>> all = new ArrayList<>();
      for (String name : names) {
        all.add(store.read(name).thenCompose(found -> apply(found, action)));
      }
      return CompletableFuture.allOf(all.toArray(CompletableFuture[]::new));
    }

    private CompletableFuture<Void> apply(
        Optional<StoredObject> found, Function<StoredObject, CompletableFuture<Void>> action) {
      return found.map(action).orElse(CompletableFuture.completedFuture(null));
    }
  }
}
