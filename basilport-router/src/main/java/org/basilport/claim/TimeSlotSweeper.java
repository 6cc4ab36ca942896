package org.basilport.claim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.LongFunction;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.basilport.membership.MembershipView;
import org.basilport.misc.Cancellable;
import org.basilport.misc.Scheduler;
import org.basilport.platform.ObjectStore;
import org.basilport.platform.StoredObject;

/**
 * Applies an idempotent action to the objects of each time slot when the slot reaches an age. Only
 * the owner of a key does so; the effect is the same if two instances consider themselves the
 * owner. All state is confined to the control scheduler.
 */
public final class TimeSlotSweeper {
  private static final Logger LOG = LogManager.getLogger(TimeSlotSweeper.class);
  private static final Duration SWEEP_INTERVAL = Duration.ofMinutes(1);
  // Sweeping starts this far back, to cover an outage during which no instance swept.
  private static final Duration CATCH_UP_PERIOD = Duration.ofHours(6);

  private final ObjectStore store;
  private final Scheduler control;
  private final MembershipView membership;
  private final String ownershipKey;
  private final Duration slotLength;
  private final Duration age;
  private final LongFunction<List<String>> prefixes;
  private final Function<StoredObject, CompletableFuture<Void>> action;
  private Cancellable sweepTimer = () -> {};
  private long nextSlot = -1;
  private boolean sweeping;

  /**
   * Creates a sweeper that has not started.
   *
   * @param ownershipKey key whose owner sweeps
   * @param age age of a slot at which the action is applied
   * @param prefixes returns the name prefixes of a slot's objects
   * @param action action to apply to an object; retried if its result is a failure
   */
  public TimeSlotSweeper(
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

  /** Starts the sweeper. */
  public void start() {
    sweepTimer = control.scheduleRepeating(SWEEP_INTERVAL, this::sweepNextSlot);
  }

  /** Stops the sweeper. */
  public void stop() {
    sweepTimer.cancel();
  }

  private void sweepNextSlot() {
    boolean owner =
        membership
            .owner(ownershipKey)
            .filter(member -> member.id().equals(membership.self().id()))
            .isPresent();
    long now = control.now().getEpochSecond();
    long newestDueSlot = (now - age.toSeconds()) / slotLength.toSeconds() - 1;
    nextSlot =
        nextSlot < 0
            ? newestDueSlot - CATCH_UP_PERIOD.toSeconds() / slotLength.toSeconds()
            : nextSlot;
    if (!owner || sweeping || nextSlot > newestDueSlot) {
      return;
    }
    sweeping = true;
    List<CompletableFuture<Void>> sweeps = new ArrayList<>();
    for (String prefix : prefixes.apply(nextSlot)) {
      sweeps.add(store.list(prefix).thenCompose(this::sweepObjects));
    }
    allOf(sweeps).whenComplete((done, failure) -> control.execute(() -> onSwept(failure == null)));
  }

  private void onSwept(boolean complete) {
    sweeping = false;
    nextSlot += complete ? 1 : 0;
  }

  private CompletableFuture<Void> sweepObjects(List<String> names) {
    // One object at a time, so that a large slot does not exhaust the platform's rate limits.
    CompletableFuture<Void> chain = CompletableFuture.completedFuture(null);
    for (String name : names) {
      chain = chain.thenCompose(done -> sweepObject(name));
    }
    return chain;
  }

  private CompletableFuture<Void> sweepObject(String name) {
    return store
        .read(name)
        .thenCompose(
            found -> found.map(this::apply).orElse(CompletableFuture.completedFuture(null)));
  }

  /** Applies the action; an object that cannot be read is left and does not hold up the others. */
  private CompletableFuture<Void> apply(StoredObject object) {
    try {
      return action.apply(object);
    } catch (MalformedObjectException e) {
      LOG.error("object {} is skipped", object.name(), e);
      return CompletableFuture.completedFuture(null);
    }
  }

  private static CompletableFuture<Void> allOf(List<CompletableFuture<Void>> futures) {
    return CompletableFuture.allOf(futures.toArray(CompletableFuture[]::new));
  }
}
