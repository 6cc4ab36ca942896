package org.basilport.claim;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.basilport.membership.MembershipView;
import org.basilport.misc.Scheduler;
import org.basilport.platform.ObjectStore;
import org.basilport.platform.StoredObject;

/** Closes claim objects after a day and removes them after 30 days. */
public final class ClaimSweeper {
  private static final Duration KEPT = Duration.ofHours(24);
  private static final Duration CLOSED = Duration.ofDays(30);
  private static final String OWNERSHIP_KEY = "claims";

  private final ObjectStore store;
  private final SlotSweeper closing;
  private final SlotSweeper removal;

  /** Creates a sweeper that does nothing until its start. */
  public ClaimSweeper(ObjectStore store, Scheduler control, MembershipView membership) {
    this.store = store;
    this.closing =
        new SlotSweeper(
            store,
            control,
            membership,
            OWNERSHIP_KEY,
            RequestKey.SLOT,
            KEPT,
            ClaimSweeper::prefixes,
            this::close);
    this.removal =
        new SlotSweeper(
            store,
            control,
            membership,
            OWNERSHIP_KEY,
            RequestKey.SLOT,
            CLOSED,
            ClaimSweeper::prefixes,
            object -> store.delete(object.name(), object.version()));
  }

  /** Starts sweeping. */
  public void start() {
    closing.start();
    removal.start();
  }

  /** Stops sweeping. */
  public void stop() {
    closing.stop();
    removal.stop();
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
