package org.basilport.backend;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.basilport.protocol.BackendEntry;
import org.basilport.protocol.GossipMessage;

/**
 * Selects the backend server entries of gossip messages; must be used on the control thread.
 *
 * <p>Changed servers are sent a fixed number of times. Leaving marks come first because they
 * guarantee that a leaving server receives no new work. Entries of unchanged servers only confirm
 * that the instance directory still has them; a few are sent per message, without constant fields.
 */
final class BackendGossip {
  private static final int CHANGE_TRANSMISSIONS = 4;
  private static final int LEAVING_TRANSMISSIONS = 48;

  /**
   * Full entries for instances that missed both the first transmissions and the instance directory.
   */
  private static final int FULL_ENTRIES = 1;

  private static final int MAX_ENTRIES = 64;

  /** Unchanged servers that a message confirms. */
  private static final int CONFIRMATIONS_PER_MESSAGE = 6;

  /** Bytes available to leaving marks even if a burst of messages has exhausted the rate limit. */
  private static final int MIN_LEAVING_BYTES = 120;

  private final BackendRegistry registry;
  private final SplittableRandom random;

  BackendGossip(BackendRegistry registry, SplittableRandom random) {
    this.registry = registry;
    this.random = random;
  }

  /**
   * Adds entries to a message.
   *
   * @param maxBytes size by which the message may grow; leaving marks may exceed it
   */
  void contribute(GossipMessage.Builder message, int maxBytes) {
    List<BackendRecord> leaving = new ArrayList<>();
    List<BackendRecord> changed = new ArrayList<>();
    List<BackendRecord> unchanged = new ArrayList<>();
    for (BackendRecord record : registry.records()) {
      if (record.server().leaving() && record.transmissions() < LEAVING_TRANSMISSIONS) {
        leaving.add(record);
      } else if (record.transmissions() < CHANGE_TRANSMISSIONS) {
        changed.add(record);
      } else {
        unchanged.add(record);
      }
    }
    int leavingBytes = Math.max(maxBytes, MIN_LEAVING_BYTES);
    int usedBytes = leavingBytes - contributeChanged(message, leaving, leavingBytes, true);
    int availableBytes = contributeChanged(message, changed, maxBytes - usedBytes, false);
    contributeConfirmations(message, unchanged, availableBytes);
  }

  private int contributeChanged(
      GossipMessage.Builder message,
      List<BackendRecord> records,
      int availableBytes,
      boolean compact) {
    int remainingBytes = availableBytes;
    int first = records.isEmpty() ? 0 : random.nextInt(records.size());
    for (int i = 0; i < records.size() && message.getBackendsCount() < MAX_ENTRIES; i++) {
      BackendRecord record = records.get((first + i) % records.size());
      BackendEntry entry = compact ? record.compactEntry() : record.entry();
      if (size(entry) <= remainingBytes) {
        record.recordTransmission();
        message.addBackends(entry);
        remainingBytes -= size(entry);
      }
    }
    return remainingBytes;
  }

  private void contributeConfirmations(
      GossipMessage.Builder message, List<BackendRecord> records, int availableBytes) {
    int remainingBytes = availableBytes;
    int fullEntries = FULL_ENTRIES;
    int count = Math.min(records.size(), CONFIRMATIONS_PER_MESSAGE);
    int first = records.isEmpty() ? 0 : random.nextInt(records.size());
    for (int i = 0; i < count && message.getBackendsCount() < MAX_ENTRIES; i++) {
      BackendRecord record = records.get((first + i) % records.size());
      BackendEntry entry = fullEntries > 0 ? record.entry() : record.compactEntry();
      if (size(entry) <= remainingBytes) {
        message.addBackends(entry);
        remainingBytes -= size(entry);
        fullEntries--;
      }
    }
  }

  /** Returns the size of an entry within a message in bytes, including its tag and length. */
  private static int size(BackendEntry entry) {
    int bytes = entry.getSerializedSize();
    return bytes + (bytes < 128 ? 2 : 3);
  }
}
