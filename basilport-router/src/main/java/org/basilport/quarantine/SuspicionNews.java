package org.basilport.quarantine;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

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
  static final int MAX_NEWS = 48;
  static final int MAX_REPEATED = 4;
  // With two exchanges in each of two rounds a second, news spreads for three seconds.
  private static final int TOLD_OFTEN_ENOUGH = 12;

  private SuspicionNews() {}

  /** Returns the records to tell and counts them as told. */
  static List<SuspicionRecord> select(Collection<SuspicionRecord> records) {
    Stream<SuspicionRecord> news =
        records.stream()
            .filter(suspicion -> suspicion.timesTold() < TOLD_OFTEN_ENOUGH)
            .sorted(
                Comparator.comparing(SuspicionRecord::awaitsNews)
                    .reversed()
                    .thenComparing(SuspicionRecord::timesTold)
                    .thenComparing(SuspicionRecord::fingerprint))
            .limit(MAX_NEWS);
    Stream<SuspicionRecord> repeated =
        records.stream()
            .filter(suspicion -> suspicion.timesTold() >= TOLD_OFTEN_ENOUGH)
            .sorted(
                Comparator.comparing(SuspicionRecord::timesTold)
                    .thenComparing(SuspicionRecord::fingerprint))
            .limit(MAX_REPEATED);
    List<SuspicionRecord> selected = Stream.concat(news, repeated).toList();
    selected.forEach(SuspicionRecord::told);
    return selected;
  }
}
