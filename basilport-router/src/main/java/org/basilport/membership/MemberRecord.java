package org.basilport.membership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.basilport.protocol.MemberEntry;
import org.basilport.protocol.MemberState;

/**
 * Latest gossip entry of a member and the local time at which its heartbeat last advanced.
 *
 * <p>The heartbeat in the entry is the version of its values. The latest heartbeat is stored
 * separately because it may arrive without values and must not make an entry with a changed state
 * look outdated.
 */
final class MemberRecord {
  private MemberEntry entry;
  private long lastAdvanceNanos;
  private MemberHealth health = MemberHealth.ALIVE;
  private final int hash;
  private long latestHeartbeat;
  private int transmissions;

  MemberRecord(MemberEntry entry, long now) {
    this.entry = entry;
    this.lastAdvanceNanos = now;
    this.latestHeartbeat = entry.getHeartbeat();
    this.hash = hash(entry.getInstanceId(), entry.getIncarnation());
  }

  MemberEntry entry() {
    return entry;
  }

  MemberHealth health() {
    return health;
  }

  void health(MemberHealth newHealth) {
    health = newHealth;
  }

  /** Returns the hash that represents an id and incarnation in heartbeat lists. */
  static int hash(String id, long incarnation) {
    String key = id + '@' + incarnation;
    return Hashing.farmHashFingerprint64().hashString(key, StandardCharsets.UTF_8).asInt();
  }

  int hash() {
    return hash;
  }

  /** Returns the largest heartbeat received, with or without values. */
  long latestHeartbeat() {
    return latestHeartbeat;
  }

  /** Applies a heartbeat of the same incarnation if it is larger than the latest one. */
  void advanceHeartbeat(long heartbeat, long now) {
    if (heartbeat > latestHeartbeat) {
      latestHeartbeat = heartbeat;
      lastAdvanceNanos = now;
      health = MemberHealth.ALIVE;
    }
  }

  /** Returns how often this member was sent to peers since it joined or changed its state. */
  int transmissions() {
    return transmissions;
  }

  /** Counts a transmission to a peer. */
  void recordTransmission() {
    transmissions++;
  }

  long silentNanos(long now) {
    return now - lastAdvanceNanos;
  }

  /** Excludes a pause of this instance from the silence of the member. */
  void discountPause(long nanos) {
    lastAdvanceNanos += nanos;
  }

  /** Returns whether an entry is newer than another, by incarnation and then by heartbeat. */
  static boolean isNewer(MemberEntry entry, MemberEntry other) {
    int byIncarnation = Long.compare(entry.getIncarnation(), other.getIncarnation());
    return byIncarnation != 0 ? byIncarnation > 0 : entry.getHeartbeat() > other.getHeartbeat();
  }

  /** Applies a newer entry of the same incarnation; missing addresses are kept. */
  void update(MemberEntry newer, long now) {
    MemberEntry complete = newer;
    if (newer.getPeerAddress().isEmpty()) {
      complete =
          newer.toBuilder()
              .setRegion(entry.getRegion())
              .setDataCentre(entry.getDataCentre())
              .setAddress(entry.getAddress())
              .setPeerAddress(entry.getPeerAddress())
              .build();
    }
    if (newer.getState() != entry.getState()) {
      transmissions = 0;
    }
    entry = complete;
    advanceHeartbeat(newer.getHeartbeat(), now);
  }

  Member member() {
    return new Member(
        entry.getInstanceId(),
        entry.getIncarnation(),
        statusOf(entry.getState()),
        health,
        entry.getRegion(),
        entry.getDataCentre(),
        entry.getAddress(),
        entry.getPeerAddress(),
        entry.getConfigurationNumber(),
        entry.getActiveStreams());
  }

  static MemberStatus statusOf(MemberState state) {
    switch (state) {
      case MEMBER_STATE_SERVING:
        return MemberStatus.SERVING;
      case MEMBER_STATE_LEAVING:
        return MemberStatus.LEAVING;
      case MEMBER_STATE_LEFT:
        return MemberStatus.LEFT;
      default:
        return MemberStatus.STARTING;
    }
  }

  static MemberState stateOf(MemberStatus status) {
    switch (status) {
      case SERVING:
        return MemberState.MEMBER_STATE_SERVING;
      case LEAVING:
        return MemberState.MEMBER_STATE_LEAVING;
      case LEFT:
        return MemberState.MEMBER_STATE_LEFT;
      default:
        return MemberState.MEMBER_STATE_STARTING;
    }
  }
}
