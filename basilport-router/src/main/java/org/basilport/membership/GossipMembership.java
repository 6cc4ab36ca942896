package org.basilport.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.basilport.event.EventSink;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.misc.Scheduler;
import org.basilport.peer.GossipParticipant;
import org.basilport.platform.ListedInstance;
import org.basilport.protocol.GossipMessage;
import org.basilport.protocol.MemberEntry;

/**
 * Membership by gossip of heartbeats. All methods but those of {@link MembershipView} run on the
 * control thread.
 *
 * <p>A message carries a bounded sample of the members. Only entries whose heartbeat advanced
 * lately are passed on, and a forgotten member leaves a tombstone for a while; otherwise two
 * instances could keep a dead member alive by telling each other of it.
 */
public final class GossipMembership implements MembershipView, GossipParticipant {
  private static final Duration SUSPECT_AFTER = Duration.ofSeconds(3);
  private static final Duration DEAD_AFTER = Duration.ofSeconds(6);
  private static final Duration FORGET_AFTER = Duration.ofMinutes(5);
  private static final Duration LIST_VALID = Duration.ofSeconds(10);
  private static final Duration TOMBSTONE_KEPT = Duration.ofMinutes(1);
  private static final int MAX_ENTRIES = 64;

  /** Entries per message with addresses; the others carry only what changes. */
  private static final int MAX_FULL_ENTRIES = 6;

  private static final int COLD_CONTACT_ROUNDS = 4;

  private final Scheduler control;
  private final SplittableRandom random;
  private final EventSink events;
  private final String selfId;
  private final List<String> seedPeers;
  private final Map<String, MemberRecord> records = new LinkedHashMap<>();
  private final Map<String, Tombstone> tombstones = new HashMap<>();
  private Map<String, ListedInstance> listed = Map.of();
  private long listedAt;
  private MemberEntry self;
  private volatile Snapshot snapshot;

  /**
   * Creates a membership that knows only its own instance.
   *
   * @param self this instance
   * @param seedPeers addresses of peers to contact while no other instance is known
   */
  public GossipMembership(
      Member self,
      List<String> seedPeers,
      Scheduler control,
      SplittableRandom random,
      EventSink events) {
    this.control = control;
    this.random = random;
    this.events = events;
    this.selfId = self.id();
    this.seedPeers = List.copyOf(seedPeers);
    this.self =
        MemberEntry.newBuilder()
            .setInstanceId(self.id())
            .setIncarnation(self.incarnation())
            .setState(MemberRecord.state(self.status()))
            .setRegion(self.region())
            .setDataCentre(self.dataCentre())
            .setAddress(self.address())
            .setPeerAddress(self.peerAddress())
            .build();
    publish();
  }

  @Override
  public Member self() {
    return snapshot.self;
  }

  @Override
  public List<Member> members() {
    return snapshot.members;
  }

  @Override
  public Optional<Member> owner(String key) {
    return RendezvousHash.owner(key, snapshot.serving, Member::id);
  }

  /** Number of instances that count as live, this one included. */
  public int liveInstances() {
    return snapshot.live;
  }

  /** Advances the own heartbeat and judges those of the others. */
  public void tick() {
    self = self.toBuilder().setHeartbeat(self.getHeartbeat() + 1).build();
    long now = control.nanoTime();
    tombstones.values().removeIf(stone -> now - stone.at > TOMBSTONE_KEPT.toNanos());
    List.copyOf(records.values()).forEach(record -> judge(record, now));
    publish();
  }

  /** Does not hold a pause of this instance against the others. */
  public void excuse(Duration pause) {
    records.values().forEach(record -> record.excuse(pause.toNanos()));
  }

  /** Sets the state of this instance; a state never goes back. */
  public void status(MemberStatus status) {
    if (status.compareTo(MemberRecord.status(self.getState())) > 0) {
      self =
          self.toBuilder()
              .setState(MemberRecord.state(status))
              .setHeartbeat(self.getHeartbeat() + 1)
              .build();
      publish();
    }
  }

  /** Sets what this instance tells of its configuration. */
  public void configurationNumber(long number) {
    self = self.toBuilder().setConfigurationNumber(number).build();
    publish();
  }

  /** Sets what this instance tells of its load. */
  public void activeStreams(int activeStreams) {
    self = self.toBuilder().setActiveStreams(activeStreams).build();
    publish();
  }

  /** Takes over the entry instances of the instance list. */
  public void listed(List<ListedInstance> entries) {
    Map<String, ListedInstance> byId = new LinkedHashMap<>();
    entries.forEach(entry -> byId.put(entry.id(), entry));
    byId.remove(selfId);
    listed = byId;
    listedAt = control.nanoTime();
  }

  /** Returns peers for a round of gossip; now and then one that is not known to be alive. */
  public List<String> partners(int count) {
    List<String> partners = new ArrayList<>(randomPeers(count));
    if (partners.isEmpty() || random.nextInt(COLD_CONTACT_ROUNDS) == 0) {
      List<String> cold = coldAddresses();
      shuffle(cold);
      cold.stream().limit(partners.isEmpty() ? count : 1).forEach(partners::add);
    }
    return partners;
  }

  /** Returns the peer addresses of random members that are not dead. */
  public List<String> randomPeers(int count) {
    List<String> addresses = new ArrayList<>();
    for (MemberRecord record : records.values()) {
      Member member = record.member();
      if (member.health() != MemberHealth.DEAD && member.status() != MemberStatus.LEFT) {
        addresses.add(member.peerAddress());
      }
    }
    shuffle(addresses);
    return List.copyOf(addresses.subList(0, Math.min(count, addresses.size())));
  }

  /** Finds the peer address of a member. */
  public Optional<String> peerAddress(String id) {
    return Optional.ofNullable(records.get(id)).map(record -> record.entry().getPeerAddress());
  }

  /** Whether this instance is among the first members of its data centre for a duty. */
  public boolean onDuty(String duty, int count) {
    List<String> ids =
        members().stream()
            .filter(member -> member.dataCentre().equals(self.getDataCentre()))
            .filter(member -> member.health() != MemberHealth.DEAD)
            .filter(member -> member.status().compareTo(MemberStatus.LEAVING) < 0)
            .map(Member::id)
            .toList();
    return RendezvousHash.among(duty + "/" + self.getDataCentre(), ids, selfId, count);
  }

  @Override
  public void contribute(GossipMessage.Builder message) {
    message.addMembers(self);
    List<MemberEntry> sample = sample();
    shuffle(sample);
    for (int i = 0; i < sample.size(); i++) {
      message.addMembers(i < MAX_FULL_ENTRIES - 1 ? sample.get(i) : brief(sample.get(i)));
    }
  }

  /** The entries that advanced last within a random choice of twice the room. */
  private List<MemberEntry> sample() {
    List<MemberRecord> alive = new ArrayList<>();
    for (MemberRecord record : records.values()) {
      if (record.health() == MemberHealth.ALIVE) {
        alive.add(record);
      }
    }
    int room = MAX_ENTRIES - 1;
    if (alive.size() > room) {
      shuffle(alive);
      long now = control.nanoTime();
      alive = new ArrayList<>(alive.subList(0, Math.min(alive.size(), 2 * room)));
      alive.sort(Comparator.comparingLong(record -> record.silentNanos(now)));
    }
    List<MemberEntry> sample = new ArrayList<>();
    alive.stream().limit(room).forEach(record -> sample.add(record.entry()));
    return sample;
  }

  @Override
  public void receive(GossipMessage message) {
    message.getMembersList().stream().limit(MAX_ENTRIES).forEach(this::learn);
    publish();
  }

  private void learn(MemberEntry entry) {
    String id = entry.getInstanceId();
    Tombstone stone = tombstones.get(id);
    if (id.equals(selfId) || (stone != null && !MemberRecord.newer(entry, stone.entry))) {
      return;
    }
    long now = control.nanoTime();
    MemberRecord known = records.get(id);
    boolean restarted = known != null && entry.getIncarnation() > known.entry().getIncarnation();
    if (known == null || restarted) {
      // Without its addresses a new member or incarnation cannot be used yet.
      if (!entry.getPeerAddress().isEmpty()) {
        records.put(id, new MemberRecord(entry, now));
        tombstones.remove(id);
        events.record(EventType.MEMBER_JOINED, EventSubject.NONE, id, entry.getIncarnation());
      }
      return;
    }
    if (MemberRecord.newer(entry, known.entry())) {
      boolean wasLeaving = known.member().status().compareTo(MemberStatus.LEAVING) >= 0;
      known.advance(entry, now);
      if (!wasLeaving && known.member().status().compareTo(MemberStatus.LEAVING) >= 0) {
        events.record(EventType.MEMBER_LEAVING, EventSubject.NONE, id);
      }
    }
  }

  private void judge(MemberRecord record, long now) {
    String id = record.entry().getInstanceId();
    long silent = record.silentNanos(now);
    if (silent > DEAD_AFTER.toNanos()) {
      if (record.health() != MemberHealth.DEAD) {
        record.health(MemberHealth.DEAD);
        events.record(EventType.MEMBER_DEAD, EventSubject.NONE, id);
      }
      boolean listKnown = listedAt != 0 && now - listedAt < LIST_VALID.toNanos();
      if ((listKnown && !listed.containsKey(id)) || silent > FORGET_AFTER.toNanos()) {
        records.remove(id);
        tombstones.put(id, new Tombstone(record.entry(), now));
      }
    } else if (silent > SUSPECT_AFTER.toNanos() && record.health() == MemberHealth.ALIVE) {
      record.health(MemberHealth.SUSPECTED);
      long millis = Duration.ofNanos(silent).toMillis();
      events.record(EventType.MEMBER_SUSPECTED, EventSubject.NONE, id, millis);
    }
  }

  private List<String> coldAddresses() {
    Set<String> cold = new LinkedHashSet<>(seedPeers);
    listed.values().forEach(entry -> cold.add(entry.peerAddress()));
    for (MemberRecord record : records.values()) {
      if (record.health() == MemberHealth.DEAD) {
        cold.add(record.entry().getPeerAddress());
      } else {
        cold.remove(record.entry().getPeerAddress());
      }
    }
    cold.remove(self.getPeerAddress());
    cold.remove("");
    return new ArrayList<>(cold);
  }

  private static MemberEntry brief(MemberEntry entry) {
    return entry.toBuilder()
        .clearRegion()
        .clearDataCentre()
        .clearAddress()
        .clearPeerAddress()
        .build();
  }

  private <T> void shuffle(List<T> list) {
    for (int i = list.size() - 1; i > 0; i--) {
      int j = random.nextInt(i + 1);
      T swapped = list.get(i);
      list.set(i, list.get(j));
      list.set(j, swapped);
    }
  }

  private void publish() {
    Member me = new MemberRecord(self, 0).member();
    List<Member> members =
        Stream.concat(Stream.of(me), records.values().stream().map(MemberRecord::member)).toList();
    int live =
        (int)
            members.stream()
                .filter(m -> m.health() != MemberHealth.DEAD && m.status() != MemberStatus.LEFT)
                .count();
    snapshot = new Snapshot(me, members, members.stream().filter(Member::serving).toList(), live);
  }

  private record Snapshot(Member self, List<Member> members, List<Member> serving, int live) {}

  private record Tombstone(MemberEntry entry, long at) {}
}
