package org.basilport.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.basilport.protocol.SuspicionEntry;

/**
 * Selects the suspicions that travel with a gossip message.
 *
 * <p>The death of a busy engine makes all its requests suspects, more than one message holds. News
 * therefore goes first and is told a fixed number of times; after that only a few entries a message
 * are repeated in turn, for instances that missed them. When the entries with the latest expiry
 * went first instead, older suspects kept the news from travelling, and a request killed a third
 * engine.
 */
final class SuspicionNews {
  /** Room that news has in a message that is full otherwise; about ten entries. */
  static final int MIN_ROOM_BYTES = 1_200;

  private static final int MAX_REPEATED = 2;
  // With two exchanges in each of two rounds a second, news spreads for three seconds.
  private static final int TOLD_OFTEN_ENOUGH = 12;

  private SuspicionNews() {}

  /** Returns the entries to tell and counts their records as told. */
  static List<SuspicionEntry> select(Collection<SuspicionRecord> records, int roomBytes) {
    Stream<SuspicionRecord> news =
        records.stream()
            .filter(suspicion -> suspicion.timesTold() < TOLD_OFTEN_ENOUGH)
            .sorted(
                Comparator.comparing(SuspicionRecord::awaitsNews)
                    .reversed()
                    .thenComparing(SuspicionRecord::timesTold)
                    .thenComparing(SuspicionRecord::fingerprint));
    Stream<SuspicionRecord> repeated =
        records.stream()
            .filter(suspicion -> suspicion.timesTold() >= TOLD_OFTEN_ENOUGH)
            .sorted(
                Comparator.comparing(SuspicionRecord::timesTold)
                    .thenComparing(SuspicionRecord::fingerprint))
            .limit(MAX_REPEATED);
    List<SuspicionEntry> selected = new ArrayList<>();
    int room = Math.max(MIN_ROOM_BYTES, roomBytes);
    for (SuspicionRecord suspicion : Stream.concat(news, repeated).toList()) {
      SuspicionEntry entry = suspicion.toEntry();
      room -= entry.getSerializedSize();
      if (room < 0) {
        break;
      }
      selected.add(entry);
      suspicion.told();
    }
    return selected;
  }
}
