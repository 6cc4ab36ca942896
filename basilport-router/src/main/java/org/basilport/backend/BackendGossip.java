package org.basilport.backend;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.basilport.protocol.BackendEntry;
import org.basilport.protocol.GossipMessage;

/**
 * Chooses what is told of backend servers; control thread only.
 *
 * <p>What changed is told in full a number of times, leaving marks first because they protect a
 * guarantee. The rest only confirms that the instance list still has a server; it takes turns and
 * is told without what does not change.
 */
final class BackendGossip {
  private static final int FRESH_TELLINGS = 4;
  private static final int FRESH_LEAVING_TELLINGS = 48;

  /** An instance that missed the first tellings and the instance list learns from these. */
  private static final int FULL_ENTRIES = 1;

  private static final int MAX_ENTRIES = 64;

  /** Servers per message that are confirmed in turn. */
  private static final int OTHERS_PER_MESSAGE = 6;

  /** Room for leaving marks also when a burst of messages leaves no room. */
  private static final int MIN_LEAVING_BYTES = 120;

  private final BackendRegistry registry;
  private final SplittableRandom random;

  BackendGossip(BackendRegistry registry, SplittableRandom random) {
    this.registry = registry;
    this.random = random;
  }

  /** Adds entries to a message. */
  void contribute(GossipMessage.Builder message, int roomBytes) {
    List<BackendRecord> leaving = new ArrayList<>();
    List<BackendRecord> fresh = new ArrayList<>();
    List<BackendRecord> others = new ArrayList<>();
    for (BackendRecord record : registry.records()) {
      if (record.server().leaving() && record.tellings() < FRESH_LEAVING_TELLINGS) {
        leaving.add(record);
      } else if (record.tellings() < FRESH_TELLINGS) {
        fresh.add(record);
      } else {
        others.add(record);
      }
    }
    int leavingRoom = Math.max(roomBytes, MIN_LEAVING_BYTES);
    int used = leavingRoom - contributeFresh(message, leaving, leavingRoom, true);
    int room = contributeFresh(message, fresh, roomBytes - used, false);
    contributeOthers(message, others, room);
  }

  private int contributeFresh(
      GossipMessage.Builder message, List<BackendRecord> records, int room, boolean brief) {
    int left = room;
    int first = records.isEmpty() ? 0 : random.nextInt(records.size());
    for (int i = 0; i < records.size() && message.getBackendsCount() < MAX_ENTRIES; i++) {
      BackendRecord record = records.get((first + i) % records.size());
      BackendEntry entry = brief ? record.briefEntry() : record.entry();
      if (size(entry) <= left) {
        record.told();
        message.addBackends(entry);
        left -= size(entry);
      }
    }
    return left;
  }

  private void contributeOthers(
      GossipMessage.Builder message, List<BackendRecord> records, int room) {
    int left = room;
    int full = FULL_ENTRIES;
    int most = Math.min(records.size(), OTHERS_PER_MESSAGE);
    int first = records.isEmpty() ? 0 : random.nextInt(records.size());
    for (int i = 0; i < most && message.getBackendsCount() < MAX_ENTRIES; i++) {
      BackendRecord record = records.get((first + i) % records.size());
      BackendEntry entry = full > 0 ? record.entry() : record.briefEntry();
      if (size(entry) <= left) {
        message.addBackends(entry);
        left -= size(entry);
        full--;
      }
    }
  }

  /** Size of an entry within a message, with its tag and length. */
  private static int size(BackendEntry entry) {
    int bytes = entry.getSerializedSize();
    return bytes + (bytes < 128 ? 2 : 3);
  }
}
