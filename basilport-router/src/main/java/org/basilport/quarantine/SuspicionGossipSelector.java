package org.basilport.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.basilport.protocol.SuspicionEntry;

/**
 * Selects the suspicions to include in a gossip message.
 *
 * <p>The crash of a busy engine makes all its requests suspects, more than fit into one message.
 * Changed entries therefore go first and are sent a fixed number of times; after that, only a few
 * entries per message are repeated in turn, for instances that missed them. Ordering by latest
 * expiry instead let older suspects crowd out new ones, and a request crashed a third engine.
 */
final class SuspicionGossipSelector {
  /** Space reserved for suspicions in an otherwise full message, enough for about ten entries. */
  static final int MIN_CAPACITY_BYTES = 1_200;

  private static final int MAX_REPEATED_ENTRIES = 2;
  // 3 seconds of gossip, at two rounds per second with two exchanges each.
  private static final int TRANSMISSIONS_PER_CHANGE = 12;

  private SuspicionGossipSelector() {}

  /** Returns the entries to send and counts a transmission of each. */
  static List<SuspicionEntry> select(Collection<SuspicionRecord> records, int capacityBytes) {
    Stream<SuspicionRecord> changed =
        records.stream()
            .filter(suspicion -> suspicion.transmissions() < TRANSMISSIONS_PER_CHANGE)
            .sorted(
                Comparator.comparing(SuspicionRecord::hasUnresolvedLoss)
                    .reversed()
                    .thenComparing(SuspicionRecord::transmissions)
                    .thenComparing(SuspicionRecord::fingerprint));
    Stream<SuspicionRecord> repeated =
        records.stream()
            .filter(suspicion -> suspicion.transmissions() >= TRANSMISSIONS_PER_CHANGE)
            .sorted(
                Comparator.comparing(SuspicionRecord::transmissions)
                    .thenComparing(SuspicionRecord::fingerprint))
            .limit(MAX_REPEATED_ENTRIES);
    List<SuspicionEntry> selected = new ArrayList<>();
    int remainingBytes = Math.max(MIN_CAPACITY_BYTES, capacityBytes);
    for (SuspicionRecord suspicion : Stream.concat(changed, repeated).toList()) {
      SuspicionEntry entry = suspicion.toEntry();
      remainingBytes -= entry.getSerializedSize();
      if (remainingBytes < 0) {
        break;
      }
      selected.add(entry);
      suspicion.recordTransmission();
    }
    return selected;
  }
}
