package org.basilport.claim;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.basilport.membership.MembershipView;
import org.basilport.misc.Scheduler;
import org.basilport.platform.ObjectStore;
import org.basilport.platform.StoredObject;

/** Closes claim objects after 24 hours and deletes them after 30 days. */
public final class ClaimSweeper {
  private static final Duration CLOSE_AFTER = Duration.ofHours(24);
  private static final Duration REMOVE_AFTER = Duration.ofDays(30);
  private static final String OWNERSHIP_KEY = "claims";

  private final ObjectStore store;
  private final TimeSlotSweeper closeSweeper;
  private final TimeSlotSweeper removalSweeper;

  /** Creates a sweeper that has not started. */
  public ClaimSweeper(ObjectStore store, Scheduler control, MembershipView membership) {
    this.store = store;
    this.closeSweeper =
        new TimeSlotSweeper(
            store,
            control,
            membership,
            OWNERSHIP_KEY,
            RequestKey.SLOT_LENGTH,
            CLOSE_AFTER,
            ClaimSweeper::prefixes,
            this::close);
    this.removalSweeper =
        new TimeSlotSweeper(
            store,
            control,
            membership,
            OWNERSHIP_KEY,
            RequestKey.SLOT_LENGTH,
            REMOVE_AFTER,
            ClaimSweeper::prefixes,
            object -> store.delete(object.name(), object.version()));
  }

  /** Starts the sweeper. */
  public void start() {
    closeSweeper.start();
    removalSweeper.start();
  }

  /** Stops the sweeper. */
  public void stop() {
    closeSweeper.stop();
    removalSweeper.stop();
  }

  private static List<String> prefixes(long slot) {
    return List.of(ClaimObject.PREFIX + slot + "/");
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
}
