package org.basilport.membership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.basilport.protocol.MemberEntry;
import org.basilport.protocol.MemberState;

/**
 * What gossip told of one member, and when its heartbeat last advanced here.
 *
 * <p>The heartbeat of the entry versions its values. The latest heartbeat is kept apart, because it
 * may arrive without values, and must not make an entry with a changed state look old.
 */
final class MemberRecord {
  private MemberEntry entry;
  private long advancedAt;
  private MemberHealth health = MemberHealth.ALIVE;
  private final int hash;
  private long latestHeartbeat;
  private int tellings;

  MemberRecord(MemberEntry entry, long now) {
    this.entry = entry;
    this.advancedAt = now;
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

  /** Stands for id and incarnation in lists of heartbeats. */
  static int hash(String id, long incarnation) {
    String key = id + '@' + incarnation;
    return Hashing.farmHashFingerprint64().hashString(key, StandardCharsets.UTF_8).asInt();
  }

  int hash() {
    return hash;
  }

  /** The largest heartbeat that was told, with values or without. */
  long latestHeartbeat() {
    return latestHeartbeat;
  }

  /** Takes over a larger heartbeat of the same incarnation. */
  void heartbeat(long heartbeat, long now) {
    if (heartbeat > latestHeartbeat) {
      latestHeartbeat = heartbeat;
      advancedAt = now;
      health = MemberHealth.ALIVE;
    }
  }

  /** How often peers were told of this member since it joined or changed its state. */
  int tellings() {
    return tellings;
  }

  /** Counts that a peer was told. */
  void told() {
    tellings++;
  }

  long silentNanos(long now) {
    return now - advancedAt;
  }

  /** Does not count time during which this instance itself was paused. */
  void excuse(long nanos) {
    advancedAt += nanos;
  }

  /** Whether an entry is newer than another: by incarnation, then by heartbeat. */
  static boolean newer(MemberEntry entry, MemberEntry than) {
    int byIncarnation = Long.compare(entry.getIncarnation(), than.getIncarnation());
    return byIncarnation != 0 ? byIncarnation > 0 : entry.getHeartbeat() > than.getHeartbeat();
  }

  /** Takes over a newer entry; one without addresses keeps those of the same incarnation. */
  void advance(MemberEntry newer, long now) {
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
      tellings = 0;
    }
    entry = complete;
    heartbeat(newer.getHeartbeat(), now);
  }

  Member member() {
    return new Member(
        entry.getInstanceId(),
        entry.getIncarnation(),
        status(entry.getState()),
        health,
        entry.getRegion(),
        entry.getDataCentre(),
        entry.getAddress(),
        entry.getPeerAddress(),
        entry.getConfigurationNumber(),
        entry.getActiveStreams());
  }

  static MemberStatus status(MemberState state) {
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

  static MemberState state(MemberStatus status) {
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
