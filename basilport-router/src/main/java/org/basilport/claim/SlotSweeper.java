package org.basilport.claim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.LongFunction;
import org.basilport.membership.MembershipView;
import org.basilport.misc.Cancellable;
import org.basilport.misc.Scheduler;
import org.basilport.platform.ObjectStore;
import org.basilport.platform.StoredObject;

/**
 * Applies an action to the objects of each time slot when the slot reaches an age. One instance
 * does so; two that both believe to be the owner have the same effect. All state is confined to the
 * control scheduler.
 */
public final class SlotSweeper {
  private static final Duration TICK = Duration.ofMinutes(1);
  // A new owner looks this far back, which covers an outage during which nobody swept.
  private static final Duration CATCH_UP = Duration.ofHours(6);

  private final ObjectStore store;
  private final Scheduler control;
  private final MembershipView membership;
  private final String ownershipKey;
  private final Duration slotLength;
  private final Duration age;
  private final LongFunction<List<String>> prefixes;
  private final Function<StoredObject, CompletableFuture<Void>> action;
  private Cancellable ticks = () -> {};
  private long slot = -1;
  private boolean busy;

  /**
   * Creates a sweeper that does nothing until its start.
   *
   * @param ownershipKey key whose owner sweeps
   * @param age how old a slot is when the action is applied
   * @param prefixes prefixes of the names of a slot's objects
   * @param action what happens to an object; it is tried again when it fails
   */
  public SlotSweeper(
      ObjectStore store,
      Scheduler control,
      MembershipView membership,
      String ownershipKey,
      Duration slotLength,
      Duration age,
      LongFunction<List<String>> prefixes,
      Function<StoredObject, CompletableFuture<Void>> action) {
    this.store = store;
    this.control = control;
    this.membership = membership;
    this.ownershipKey = ownershipKey;
    this.slotLength = slotLength;
    this.age = age;
    this.prefixes = prefixes;
    this.action = action;
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
            .owner(ownershipKey)
            .filter(member -> member.id().equals(membership.self().id()))
            .isPresent();
    long now = control.now().getEpochSecond();
    long newest = (now - age.toSeconds()) / slotLength.toSeconds() - 1;
    slot = slot < 0 ? newest - CATCH_UP.toSeconds() / slotLength.toSeconds() : slot;
    if (!owner || busy || slot > newest) {
      return;
    }
    busy = true;
    List<CompletableFuture<Void>> all = new ArrayList<>();
    for (String prefix : prefixes.apply(slot)) {
      all.add(store.list(prefix).thenCompose(this::sweep));
    }
    all(all).whenComplete((done, failure) -> control.execute(() -> swept(failure == null)));
  }

  private void swept(boolean complete) {
    busy = false;
    slot += complete ? 1 : 0;
  }

  private CompletableFuture<Void> sweep(List<String> names) {
    // One object after the other, so that a large slot does not use up the platform's rates.
    CompletableFuture<Void> chain = CompletableFuture.completedFuture(null);
    for (String name : names) {
      chain = chain.thenCompose(done -> sweepOne(name));
    }
    return chain;
  }

  private CompletableFuture<Void> sweepOne(String name) {
    return store
        .read(name)
        .thenCompose(found -> found.map(action).orElse(CompletableFuture.completedFuture(null)));
  }

  private static CompletableFuture<Void> all(List<CompletableFuture<Void>> futures) {
    return CompletableFuture.allOf(futures.toArray(CompletableFuture[]::new));
  }
}
