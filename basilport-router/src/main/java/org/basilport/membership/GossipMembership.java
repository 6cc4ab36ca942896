package org.basilport.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
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
import org.basilport.policy.routing.RendezvousHash;
import org.basilport.protocol.GossipMessage;
import org.basilport.protocol.MemberEntry;
import org.basilport.protocol.MemberState;

/**
 * Membership by gossip of heartbeats. All methods but those of {@link MembershipView} run on the
 * control thread.
 *
 * <p>A message carries a bounded sample of the members. Only entries whose heartbeat advanced
 * lately are passed on, and a forgotten member leaves a tombstone for a while; otherwise two
 * instances could keep a dead member alive by telling each other of it.
 *
 * <p>Because the bytes per second are fixed, a heartbeat arrives less often the more members there
 * are. The times after which a silent member is suspect and dead grow accordingly.
 */
public final class GossipMembership implements MembershipView, GossipParticipant {
  private static final Duration SUSPECT_AFTER = Duration.ofSeconds(3);
  private static final Duration DEAD_AFTER = Duration.ofSeconds(6);
  private static final Duration FORGET_AFTER = Duration.ofMinutes(5);
  private static final Duration LIST_VALID = Duration.ofSeconds(10);
  private static final Duration TOMBSTONE_KEPT = Duration.ofMinutes(1);
  private static final Duration SUSPECT_AFTER_PER_MEMBER = Duration.ofMillis(40);
  private static final Duration DEAD_AFTER_PER_MEMBER = SUSPECT_AFTER_PER_MEMBER.multipliedBy(2);
  private static final int MAX_ENTRIES = 64;

  /** Part of a message for members when there are backend servers to tell of as well. */
  private static final double MEMBERS_SHARE = 0.7;

  /** How often a new member or a changed state is told with addresses and before others. */
  private static final int FRESH_TELLINGS = 5;

  private static final int FRESH_SELF_TELLINGS = 16;

  /** Other members per message whose values are told without addresses. */
  private static final int BRIEF_ENTRIES = 4;

  private static final int MAX_HEARTBEATS = 512;
  private static final int HEARTBEAT_BYTES = 7;

  /** Of how many messages one carries the own entry with addresses. */
  private static final int FULL_SELF_PERIOD = 4;

  /** A sender with fewer heartbeats is told more entries with addresses. */
  private static final int NEWCOMER_HEARTBEATS = 60;

  private static final int FULL_ENTRIES_FOR_NEWCOMER = 3;

  private static final int COLD_CONTACT_ROUNDS = 4;

  private final Scheduler control;
  private final SplittableRandom random;
  private final EventSink events;
  private final String selfId;
  private final List<String> seedPeers;
  private final Map<String, MemberRecord> records = new LinkedHashMap<>();
  private final Map<String, Tombstone> tombstones = new HashMap<>();
  private Map<String, ListedInstance> listed = Map.of();
  private Map<Integer, ListedInstance> listedByHash = Map.of();
  private long listedAt;
  private boolean missesMembers;
  private MemberEntry self;
  private int selfTellings;
  private boolean answersNewcomer;
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
      selfTellings = 0;
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
    Map<Integer, ListedInstance> byHash = new HashMap<>();
    byId.forEach((id, entry) -> byHash.put(MemberRecord.hash(id, entry.incarnation()), entry));
    listed = byId;
    listedByHash = byHash;
    missesMembers = false;
    listedAt = control.nanoTime();
  }

  /** Whether gossip told of a member whose addresses are neither known nor listed. */
  public boolean missesMembers() {
    return missesMembers;
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
    return RendezvousHash.ranksWithin(duty + "/" + self.getDataCentre(), ids, selfId, count);
  }

  @Override
  public void contribute(GossipMessage.Builder message, int roomBytes) {
    boolean fullSelf = selfTellings < FRESH_SELF_TELLINGS || selfTellings % FULL_SELF_PERIOD == 0;
    selfTellings++;
    MemberEntry own = fullSelf ? self : brief(self);
    message.addMembers(own);
    int room = (int) (roomBytes * MEMBERS_SHARE) - size(own);
    List<MemberRecord> alive = aliveRecords();
    room = contributeFresh(message, alive, room);
    room = contributeOthers(message, alive, room);
    contributeHeartbeats(message, alive, room);
    answersNewcomer = false;
  }

  /** Adds members that few peers were told of; uses at most half of the room. */
  private int contributeFresh(GossipMessage.Builder message, List<MemberRecord> alive, int room) {
    int left = room;
    for (int i = alive.size() - 1; i >= 0 && left > room / 2; i--) {
      MemberRecord record = alive.get(i);
      if (record.tellings() < FRESH_TELLINGS && message.getMembersCount() < MAX_ENTRIES) {
        record.told();
        message.addMembers(record.entry());
        left -= size(record.entry());
      }
    }
    return left;
  }

  /** Adds a few other members with addresses and a few without. */
  private int contributeOthers(GossipMessage.Builder message, List<MemberRecord> alive, int room) {
    int left = room;
    int full = answersNewcomer ? FULL_ENTRIES_FOR_NEWCOMER : 1;
    for (int i = 0; i < Math.min(full + BRIEF_ENTRIES, alive.size()); i++) {
      MemberEntry entry = alive.get(i).entry();
      MemberEntry told = i < full ? entry : brief(entry);
      if (size(told) <= left) {
        message.addMembers(told);
        left -= size(told);
      }
    }
    return left;
  }

  /** Adds the heartbeats that advanced last within a random choice of twice the room. */
  private void contributeHeartbeats(
      GossipMessage.Builder message, List<MemberRecord> alive, int room) {
    int heartbeats = Math.max(0, Math.min(MAX_HEARTBEATS, room / HEARTBEAT_BYTES));
    List<MemberRecord> chosen = alive;
    if (heartbeats < alive.size()) {
      long now = control.nanoTime();
      chosen = new ArrayList<>(alive.subList(0, Math.min(alive.size(), 2 * heartbeats)));
      chosen.sort(Comparator.comparingLong(record -> record.silentNanos(now)));
    }
    chosen.stream()
        .limit(heartbeats)
        .forEach(
            record -> {
              message.addHeartbeatMembers(record.hash());
              message.addHeartbeats((int) record.latestHeartbeat());
            });
  }

  private List<MemberRecord> aliveRecords() {
    List<MemberRecord> alive = new ArrayList<>();
    for (MemberRecord record : records.values()) {
      if (record.health() == MemberHealth.ALIVE) {
        alive.add(record);
      }
    }
    shuffle(alive);
    return alive;
  }

  /** Size of an entry within a message, with its tag and length. */
  private static int size(MemberEntry entry) {
    int bytes = entry.getSerializedSize();
    return bytes + (bytes < 128 ? 2 : 3);
  }

  @Override
  public void receive(GossipMessage message) {
    message.getMembersList().stream().limit(MAX_ENTRIES).forEach(this::learn);
    learnHeartbeats(message);
    MemberRecord sender = records.get(message.getSenderId());
    answersNewcomer = sender == null || sender.entry().getHeartbeat() < NEWCOMER_HEARTBEATS;
    publish();
  }

  private void learnHeartbeats(GossipMessage message) {
    int count = Math.min(message.getHeartbeatMembersCount(), message.getHeartbeatsCount());
    if (count == 0) {
      return;
    }
    long now = control.nanoTime();
    Map<Integer, MemberRecord> byHash = new HashMap<>();
    Set<Integer> ambiguous = new HashSet<>();
    for (MemberRecord record : records.values()) {
      if (byHash.put(record.hash(), record) != null) {
        ambiguous.add(record.hash());
      }
    }
    // A hash of two members proves nothing of either; their entries are told in turn.
    byHash.keySet().removeAll(ambiguous);
    for (int i = 0; i < Math.min(count, MAX_HEARTBEATS); i++) {
      MemberRecord record = byHash.get(message.getHeartbeatMembers(i));
      if (record != null) {
        record.heartbeat(message.getHeartbeats(i), now);
      } else if (!ambiguous.contains(message.getHeartbeatMembers(i))) {
        learnListed(message.getHeartbeatMembers(i), message.getHeartbeats(i));
      }
    }
  }

  /** Takes over a member of which only the heartbeat was told; its state follows later. */
  private void learnListed(int hash, long heartbeat) {
    ListedInstance instance = listedByHash.get(hash);
    if (instance == null) {
      missesMembers |= hash != MemberRecord.hash(selfId, self.getIncarnation());
      return;
    }
    MemberEntry.Builder entry =
        MemberEntry.newBuilder()
            .setInstanceId(instance.id())
            .setIncarnation(instance.incarnation())
            .setHeartbeat(heartbeat);
    learn(entry.build());
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
      MemberEntry complete = entry.getPeerAddress().isEmpty() ? withListedAddresses(entry) : entry;
      // Without its addresses a new member or incarnation cannot be used yet.
      if (!complete.getPeerAddress().isEmpty()) {
        // A state that was not told yet must not make the entry that tells it look old.
        boolean stateKnown = entry.getState() != MemberState.MEMBER_STATE_UNSPECIFIED;
        MemberEntry versioned =
            stateKnown ? complete : complete.toBuilder().setHeartbeat(0).build();
        MemberRecord record = new MemberRecord(versioned, now);
        record.heartbeat(entry.getHeartbeat(), now);
        records.put(id, record);
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

  /** Adds the addresses that the instance list has for the same incarnation, if any. */
  private MemberEntry withListedAddresses(MemberEntry entry) {
    ListedInstance instance = listed.get(entry.getInstanceId());
    if (instance == null || instance.incarnation() != entry.getIncarnation()) {
      return entry;
    }
    return entry.toBuilder()
        .setRegion(instance.region())
        .setDataCentre(instance.dataCentre())
        .setAddress(instance.address())
        .setPeerAddress(instance.peerAddress())
        .build();
  }

  private void judge(MemberRecord record, long now) {
    String id = record.entry().getInstanceId();
    long silent = record.silentNanos(now);
    if (silent > limit(DEAD_AFTER, DEAD_AFTER_PER_MEMBER)) {
      if (record.health() != MemberHealth.DEAD) {
        record.health(MemberHealth.DEAD);
        events.record(EventType.MEMBER_DEAD, EventSubject.NONE, id);
      }
      boolean listKnown = listedAt != 0 && now - listedAt < LIST_VALID.toNanos();
      if ((listKnown && !listed.containsKey(id)) || silent > FORGET_AFTER.toNanos()) {
        records.remove(id);
        MemberEntry last =
            record.entry().toBuilder().setHeartbeat(record.latestHeartbeat()).build();
        tombstones.put(id, new Tombstone(last, now));
      }
    } else if (silent > limit(SUSPECT_AFTER, SUSPECT_AFTER_PER_MEMBER)
        && record.health() == MemberHealth.ALIVE) {
      record.health(MemberHealth.SUSPECTED);
      long millis = Duration.ofNanos(silent).toMillis();
      events.record(EventType.MEMBER_SUSPECTED, EventSubject.NONE, id, millis);
    }
  }

  /** The larger of a fixed time and one that grows with the number of members, in nanoseconds. */
  private long limit(Duration least, Duration perMember) {
    return Math.max(least.toNanos(), perMember.toNanos() * records.size());
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
