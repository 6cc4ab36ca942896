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
 * Keeps quarantined fingerprints in the platform on a best effort, so that they survive the restart
 * of all instances. Gossip is what spreads them.
 */
public final class QuarantineStore {
  static final String OBJECT = "quarantine";

  private static final int MAX_ENTRIES = 1_000;
  private static final int MAX_TRIES = 5;
  private static final Duration RETRY = Duration.ofSeconds(2);

  private final ObjectStore store;
  private final Scheduler control;
  private final CrashTracker tracker;
  private Cancellable retry = () -> {};

  /** Creates an archive that stores what the tracker quarantines from now on. */
  public QuarantineStore(ObjectStore store, Scheduler control, CrashTracker tracker) {
    this.store = store;
    this.control = control;
    this.tracker = tracker;
    tracker.onQuarantine(entries -> save(entries, 1));
  }

  /** Takes over what was stored; tries again in an outage. */
  public void start() {
    load(1);
  }

  /** Ends open tries. */
  public void stop() {
    retry.cancel();
  }

  private void load(int attempt) {
    store
        .read(OBJECT)
        .whenComplete(
            (found, failure) ->
                control.execute(
                    () -> {
                      if (failure == null) {
                        tracker.learn(entries(found));
                      } else if (attempt < MAX_TRIES) {
                        retry = control.schedule(RETRY, () -> load(attempt + 1));
                      }
                    }));
  }

  private void save(List<SuspicionEntry> quarantined, int attempt) {
    store
        .read(OBJECT)
        .thenCompose(
            found -> {
              long version = found.map(StoredObject::version).orElse(ObjectStore.ABSENT);
              return store.write(OBJECT, merged(found, quarantined), version);
            })
        .whenComplete(
            (version, failure) ->
                control.execute(
                    () -> {
                      if (failure != null && attempt < MAX_TRIES) {
                        control.schedule(RETRY, () -> save(quarantined, attempt + 1));
                      }
                    }));
  }

  private byte[] merged(Optional<StoredObject> found, List<SuspicionEntry> quarantined) {
    Map<String, SuspicionEntry> byFingerprint = new LinkedHashMap<>();
    long now = control.now().toEpochMilli();
    quarantined.forEach(entry -> byFingerprint.put(entry.getFingerprint(), entry));
    entries(found).stream()
        .filter(entry -> entry.getExpiresAtMillis() > now)
        .forEach(entry -> byFingerprint.putIfAbsent(entry.getFingerprint(), entry));
    GossipMessage.Builder message = GossipMessage.newBuilder();
    byFingerprint.values().stream().limit(MAX_ENTRIES).forEach(message::addSuspicions);
    return message.build().toByteArray();
  }

  private static List<SuspicionEntry> entries(Optional<StoredObject> found) {
    if (found.isEmpty()) {
      return List.of();
    }
    try {
      return GossipMessage.parseFrom(found.get().value()).getSuspicionsList();
    } catch (InvalidProtocolBufferException e) {
      // A copy that cannot be read is replaced by the next save.
      return List.of();
    }
  }
}
