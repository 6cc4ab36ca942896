package org.basilport.quarantine;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.basilport.misc.Cancellable;
import org.basilport.misc.Scheduler;
import org.basilport.platform.ObjectStore;
import org.basilport.platform.StoredObject;
import org.basilport.protocol.GossipMessage;
import org.basilport.protocol.SuspicionEntry;

/**
 * Persists quarantined fingerprints in the platform on a best-effort basis, so that they survive a
 * restart of all instances. Between running instances they are spread by gossip.
 */
public final class QuarantineStore {
  static final String OBJECT_NAME = "quarantine";

  private static final int MAX_ENTRIES = 1_000;
  private static final int MAX_ATTEMPTS = 5;
  private static final Duration RETRY_DELAY = Duration.ofSeconds(2);

  private final ObjectStore store;
  private final Scheduler control;
  private final CrashTracker tracker;
  private Cancellable retry = () -> {};

  /** Creates a store and registers it with the tracker to save new quarantines. */
  public QuarantineStore(ObjectStore store, Scheduler control, CrashTracker tracker) {
    this.store = store;
    this.control = control;
    this.tracker = tracker;
    tracker.setQuarantineListener(entries -> save(entries, 1));
  }

  /** Loads the stored entries into the tracker; retries a few times if the platform is down. */
  public void start() {
    load(1);
  }

  /** Cancels a pending retry of the load. */
  public void stop() {
    retry.cancel();
  }

  private void load(int attempt) {
    store
        .read(OBJECT_NAME)
        .whenComplete(
            (stored, failure) ->
                control.execute(
                    () -> {
                      if (failure == null) {
                        tracker.merge(decode(stored));
                      } else if (attempt < MAX_ATTEMPTS) {
                        retry = control.schedule(RETRY_DELAY, () -> load(attempt + 1));
                      }
                    }));
  }

  private void save(List<SuspicionEntry> quarantined, int attempt) {
    store
        .read(OBJECT_NAME)
        .thenCompose(
            stored -> {
              long version = stored.map(StoredObject::version).orElse(ObjectStore.ABSENT);
              return store.write(OBJECT_NAME, encodeMerged(stored, quarantined), version);
            })
        .whenComplete(
            (version, failure) ->
                control.execute(
                    () -> {
                      if (failure != null && attempt < MAX_ATTEMPTS) {
                        control.schedule(RETRY_DELAY, () -> save(quarantined, attempt + 1));
                      }
                    }));
  }

  private byte[] encodeMerged(Optional<StoredObject> stored, List<SuspicionEntry> quarantined) {
    Map<String, SuspicionEntry> byFingerprint = new LinkedHashMap<>();
    long now = control.now().toEpochMilli();
    quarantined.forEach(entry -> byFingerprint.put(entry.getFingerprint(), entry));
    decode(stored).stream()
        .filter(entry -> entry.getExpiresAtMillis() > now)
        .forEach(entry -> byFingerprint.putIfAbsent(entry.getFingerprint(), entry));
    GossipMessage.Builder message = GossipMessage.newBuilder();
    byFingerprint.values().stream().limit(MAX_ENTRIES).forEach(message::addSuspicions);
    return message.build().toByteArray();
  }

  private List<SuspicionEntry> decode(Optional<StoredObject> stored) {
    if (stored.isEmpty()) {
      return List.of();
    }
    try {
      long latest = control.now().plus(CrashTracker.QUARANTINE_DURATION).toEpochMilli();
      return GossipMessage.parseFrom(stored.get().value()).getSuspicionsList().stream()
          .map(entry -> endingBy(entry, latest))
          .toList();
    } catch (InvalidProtocolBufferException e) {
      // An unreadable object is replaced by the next save.
      return List.of();
    }
  }

  /** An entry that ends no later than one that begins now. */
  private static SuspicionEntry endingBy(SuspicionEntry entry, long latestMillis) {
    return entry.getExpiresAtMillis() <= latestMillis
        ? entry
        : entry.toBuilder().setExpiresAtMillis(latestMillis).build();
  }
}
