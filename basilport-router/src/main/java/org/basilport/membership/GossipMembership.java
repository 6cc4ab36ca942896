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
 * Membership maintained by heartbeat gossip. All methods except those of {@link MembershipView} run
 * on the control thread.
 *
 * <p>A message carries a bounded sample of the members. Only members whose heartbeat advanced
 * recently are forwarded, and a removed member leaves a tombstone for a limited time; otherwise two
 * instances could keep a dead member alive by gossiping it to each other.
 *
 * <p>The gossip rate in bytes per second is fixed, so each heartbeat arrives less often the more
 * members there are. The suspicion and death timeouts grow accordingly.
 */
public final class GossipMembership implements MembershipView, GossipParticipant {
  private static final Duration SUSPECT_AFTER = Duration.ofSeconds(3);
  private static final Duration DEAD_AFTER = Duration.ofSeconds(6);
  private static final Duration REMOVE_AFTER = Duration.ofMinutes(5);
  private static final Duration LIST_VALIDITY = Duration.ofSeconds(10);
  private static final Duration TOMBSTONE_RETENTION = Duration.ofMinutes(1);
  private static final Duration SUSPECT_AFTER_PER_MEMBER = Duration.ofMillis(40);
  private static final Duration DEAD_AFTER_PER_MEMBER = SUSPECT_AFTER_PER_MEMBER.multipliedBy(2);
  private static final int MAX_MEMBER_ENTRIES = 64;

  /** Share of a message that member entries may use; the rest is left to backend servers. */
  private static final double MEMBERS_SHARE = 0.7;

  /** How often a new member or a changed state is sent first and with addresses. */
  private static final int FULL_TRANSMISSIONS = 5;

  private static final int FULL_SELF_TRANSMISSIONS = 16;

  /** Further members per message that are sent without addresses. */
  private static final int COMPACT_ENTRIES = 4;

  private static final int MAX_HEARTBEATS = 512;
  private static final int HEARTBEAT_BYTES = 7;

  /** One of this many messages carries this instance's own entry with addresses. */
  private static final int FULL_SELF_INTERVAL_MESSAGES = 4;

  /** A sender with fewer heartbeats receives more entries with addresses. */
  private static final int NEW_SENDER_HEARTBEATS = 60;

  private static final int FULL_ENTRIES_FOR_NEW_SENDER = 3;

  /** On average, one round in this many contacts a peer that is not known to be alive. */
  private static final int INACTIVE_PEER_INTERVAL_ROUNDS = 4;

  private final Scheduler control;
  private final SplittableRandom random;
  private final EventSink events;
  private final String selfId;
  private final List<String> seedPeers;
  private final Map<String, MemberRecord> records = new LinkedHashMap<>();
  private final Map<String, Tombstone> tombstones = new HashMap<>();
  private Map<String, ListedInstance> listedInstances = Map.of();
  private Map<Integer, ListedInstance> listedByHash = Map.of();
  private long listedAtNanos;
  private boolean hasUnknownMembers;
  private MemberEntry self;
  private int selfTransmissions;
  private boolean replyingToNewSender;
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
            .setState(MemberRecord.stateOf(self.status()))
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

  /** Returns the number of live instances, including this one. */
  public int liveInstances() {
    return snapshot.live;
  }

  /** Advances this instance's heartbeat and updates the health of the other members. */
  public void tick() {
    self = self.toBuilder().setHeartbeat(self.getHeartbeat() + 1).build();
    long now = control.nanoTime();
    tombstones
        .values()
        .removeIf(tombstone -> now - tombstone.createdNanos > TOMBSTONE_RETENTION.toNanos());
    List.copyOf(records.values()).forEach(record -> updateHealth(record, now));
    publish();
  }

  /** Excludes a pause of this instance from the silence of the other members. */
  public void discountPause(Duration pause) {
    records.values().forEach(record -> record.discountPause(pause.toNanos()));
  }

  /** Sets the status of this instance; a change to an earlier status is ignored. */
  public void status(MemberStatus status) {
    if (status.compareTo(MemberRecord.statusOf(self.getState())) > 0) {
      self =
          self.toBuilder()
              .setState(MemberRecord.stateOf(status))
              .setHeartbeat(self.getHeartbeat() + 1)
              .build();
      selfTransmissions = 0;
      publish();
    }
  }

  /** Sets the configuration number that this instance gossips. */
  public void configurationNumber(long number) {
    self = self.toBuilder().setConfigurationNumber(number).build();
    publish();
  }

  /** Sets the number of active streams that this instance gossips. */
  public void activeStreams(int activeStreams) {
    self = self.toBuilder().setActiveStreams(activeStreams).build();
    publish();
  }

  /** Replaces the known entry instances by those of the instance directory. */
  public void listedInstances(List<ListedInstance> entries) {
    Map<String, ListedInstance> byId = new LinkedHashMap<>();
    entries.forEach(entry -> byId.put(entry.id(), entry));
    byId.remove(selfId);
    Map<Integer, ListedInstance> byHash = new HashMap<>();
    byId.forEach((id, entry) -> byHash.put(MemberRecord.hash(id, entry.incarnation()), entry));
    listedInstances = byId;
    listedByHash = byHash;
    hasUnknownMembers = false;
    listedAtNanos = control.nanoTime();
  }

  /** Returns whether gossip named a member whose addresses are neither known nor listed. */
  public boolean hasUnknownMembers() {
    return hasUnknownMembers;
  }

  /** Returns random peers for a gossip round, sometimes with one not known to be alive. */
  public List<String> gossipPeers(int count) {
    List<String> peers = new ArrayList<>(randomPeers(count));
    if (peers.isEmpty() || random.nextInt(INACTIVE_PEER_INTERVAL_ROUNDS) == 0) {
      List<String> inactive = inactiveAddresses();
      shuffle(inactive);
      inactive.stream().limit(peers.isEmpty() ? count : 1).forEach(peers::add);
    }
    return peers;
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

  /** Returns the peer address of a member, empty if it is unknown. */
  public Optional<String> peerAddress(String id) {
    return Optional.ofNullable(records.get(id)).map(record -> record.entry().getPeerAddress());
  }

  /** Returns whether this instance is one of the members of its data centre assigned to a task. */
  public boolean isAssigned(String task, int count) {
    List<String> ids =
        members().stream()
            .filter(member -> member.dataCentre().equals(self.getDataCentre()))
            .filter(member -> member.health() != MemberHealth.DEAD)
            .filter(member -> member.status().compareTo(MemberStatus.LEAVING) < 0)
            .map(Member::id)
            .toList();
    return RendezvousHash.ranksWithin(task + "/" + self.getDataCentre(), ids, selfId, count);
  }

  @Override
  public void contribute(GossipMessage.Builder message, int maxBytes) {
    boolean fullSelf =
        selfTransmissions < FULL_SELF_TRANSMISSIONS
            || selfTransmissions % FULL_SELF_INTERVAL_MESSAGES == 0;
    selfTransmissions++;
    MemberEntry own = fullSelf ? self : withoutAddresses(self);
    message.addMembers(own);
    int availableBytes = (int) (maxBytes * MEMBERS_SHARE) - size(own);
    List<MemberRecord> alive = aliveRecords();
    availableBytes = contributeChanged(message, alive, availableBytes);
    availableBytes = contributeOthers(message, alive, availableBytes);
    contributeHeartbeats(message, alive, availableBytes);
    replyingToNewSender = false;
  }

  /** Adds new and changed members, using about half of the available bytes. */
  private int contributeChanged(
      GossipMessage.Builder message, List<MemberRecord> alive, int availableBytes) {
    int remainingBytes = availableBytes;
    for (int i = alive.size() - 1; i >= 0 && remainingBytes > availableBytes / 2; i--) {
      MemberRecord record = alive.get(i);
      if (record.transmissions() < FULL_TRANSMISSIONS
          && message.getMembersCount() < MAX_MEMBER_ENTRIES) {
        record.recordTransmission();
        message.addMembers(record.entry());
        remainingBytes -= size(record.entry());
      }
    }
    return remainingBytes;
  }

  /** Adds a few random members with addresses and a few without. */
  private int contributeOthers(
      GossipMessage.Builder message, List<MemberRecord> alive, int availableBytes) {
    int remainingBytes = availableBytes;
    int full = replyingToNewSender ? FULL_ENTRIES_FOR_NEW_SENDER : 1;
    for (int i = 0; i < Math.min(full + COMPACT_ENTRIES, alive.size()); i++) {
      MemberEntry entry = alive.get(i).entry();
      MemberEntry sentEntry = i < full ? entry : withoutAddresses(entry);
      if (size(sentEntry) <= remainingBytes) {
        message.addMembers(sentEntry);
        remainingBytes -= size(sentEntry);
      }
    }
    return remainingBytes;
  }

  /** Adds the latest advanced heartbeats of a random sample of twice the number that fits. */
  private void contributeHeartbeats(
      GossipMessage.Builder message, List<MemberRecord> alive, int availableBytes) {
    int heartbeats = Math.max(0, Math.min(MAX_HEARTBEATS, availableBytes / HEARTBEAT_BYTES));
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

  /** Returns the size of an entry within a message in bytes, including its tag and length. */
  private static int size(MemberEntry entry) {
    int bytes = entry.getSerializedSize();
    return bytes + (bytes < 128 ? 2 : 3);
  }

  @Override
  public void receive(GossipMessage message) {
    message.getMembersList().stream().limit(MAX_MEMBER_ENTRIES).forEach(this::merge);
    mergeHeartbeats(message);
    MemberRecord sender = records.get(message.getSenderId());
    replyingToNewSender = sender == null || sender.entry().getHeartbeat() < NEW_SENDER_HEARTBEATS;
    publish();
  }

  private void mergeHeartbeats(GossipMessage message) {
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
    // A hash shared by two members identifies neither; their full entries still arrive in turn.
    byHash.keySet().removeAll(ambiguous);
    for (int i = 0; i < Math.min(count, MAX_HEARTBEATS); i++) {
      MemberRecord record = byHash.get(message.getHeartbeatMembers(i));
      if (record != null) {
        record.advanceHeartbeat(message.getHeartbeats(i), now);
      } else if (!ambiguous.contains(message.getHeartbeatMembers(i))) {
        addListedMember(message.getHeartbeatMembers(i), message.getHeartbeats(i));
      }
    }
  }

  /** Adds a listed member of which only the heartbeat has arrived; its state follows later. */
  private void addListedMember(int hash, long heartbeat) {
    ListedInstance instance = listedByHash.get(hash);
    if (instance == null) {
      hasUnknownMembers |= hash != MemberRecord.hash(selfId, self.getIncarnation());
      return;
    }
    MemberEntry.Builder entry =
        MemberEntry.newBuilder()
            .setInstanceId(instance.id())
            .setIncarnation(instance.incarnation())
            .setHeartbeat(heartbeat);
    merge(entry.build());
  }

  private void merge(MemberEntry entry) {
    String id = entry.getInstanceId();
    Tombstone tombstone = tombstones.get(id);
    if (id.equals(selfId) || (tombstone != null && !MemberRecord.isNewer(entry, tombstone.entry))) {
      return;
    }
    long now = control.nanoTime();
    MemberRecord known = records.get(id);
    boolean restarted = known != null && entry.getIncarnation() > known.entry().getIncarnation();
    if (known == null || restarted) {
      MemberEntry complete = entry.getPeerAddress().isEmpty() ? withListedAddresses(entry) : entry;
      // A new member or incarnation is unusable until its addresses are known.
      if (!complete.getPeerAddress().isEmpty()) {
        // At version 0, the entry that first carries the state is not mistaken for an older one.
        boolean stateKnown = entry.getState() != MemberState.MEMBER_STATE_UNSPECIFIED;
        MemberEntry versioned =
            stateKnown ? complete : complete.toBuilder().setHeartbeat(0).build();
        MemberRecord record = new MemberRecord(versioned, now);
        record.advanceHeartbeat(entry.getHeartbeat(), now);
        records.put(id, record);
        tombstones.remove(id);
        events.record(EventType.MEMBER_JOINED, EventSubject.NONE, id, entry.getIncarnation());
      }
      return;
    }
    if (MemberRecord.isNewer(entry, known.entry())) {
      boolean wasLeaving = known.member().status().compareTo(MemberStatus.LEAVING) >= 0;
      known.update(entry, now);
      if (!wasLeaving && known.member().status().compareTo(MemberStatus.LEAVING) >= 0) {
        events.record(EventType.MEMBER_LEAVING, EventSubject.NONE, id);
      }
    }
  }

  /** Adds the addresses from the instance directory if it has the same incarnation. */
  private MemberEntry withListedAddresses(MemberEntry entry) {
    ListedInstance instance = listedInstances.get(entry.getInstanceId());
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

  private void updateHealth(MemberRecord record, long now) {
    String id = record.entry().getInstanceId();
    long silentNanos = record.silentNanos(now);
    if (silentNanos > timeoutNanos(DEAD_AFTER, DEAD_AFTER_PER_MEMBER)) {
      if (record.health() != MemberHealth.DEAD) {
        record.health(MemberHealth.DEAD);
        events.record(EventType.MEMBER_DEAD, EventSubject.NONE, id);
      }
      boolean listKnown = listedAtNanos != 0 && now - listedAtNanos < LIST_VALIDITY.toNanos();
      if ((listKnown && !listedInstances.containsKey(id)) || silentNanos > REMOVE_AFTER.toNanos()) {
        records.remove(id);
        MemberEntry last =
            record.entry().toBuilder().setHeartbeat(record.latestHeartbeat()).build();
        tombstones.put(id, new Tombstone(last, now));
      }
    } else if (silentNanos > timeoutNanos(SUSPECT_AFTER, SUSPECT_AFTER_PER_MEMBER)
        && record.health() == MemberHealth.ALIVE) {
      record.health(MemberHealth.SUSPECTED);
      long millis = Duration.ofNanos(silentNanos).toMillis();
      events.record(EventType.MEMBER_SUSPECTED, EventSubject.NONE, id, millis);
    }
  }

  /** Returns the larger of a fixed timeout and one proportional to the number of members. */
  private long timeoutNanos(Duration minimum, Duration perMember) {
    return Math.max(minimum.toNanos(), perMember.toNanos() * records.size());
  }

  private List<String> inactiveAddresses() {
    Set<String> inactive = new LinkedHashSet<>(seedPeers);
    listedInstances.values().forEach(entry -> inactive.add(entry.peerAddress()));
    for (MemberRecord record : records.values()) {
      if (record.health() == MemberHealth.DEAD) {
        inactive.add(record.entry().getPeerAddress());
      } else {
        inactive.remove(record.entry().getPeerAddress());
      }
    }
    inactive.remove(self.getPeerAddress());
    inactive.remove("");
    return new ArrayList<>(inactive);
  }

  private static MemberEntry withoutAddresses(MemberEntry entry) {
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
    Member selfMember = new MemberRecord(self, 0).member();
    List<Member> members =
        Stream.concat(Stream.of(selfMember), records.values().stream().map(MemberRecord::member))
            .toList();
    int live =
        (int)
            members.stream()
                .filter(m -> m.health() != MemberHealth.DEAD && m.status() != MemberStatus.LEFT)
                .count();
    snapshot =
        new Snapshot(selfMember, members, members.stream().filter(Member::serving).toList(), live);
  }

  private record Snapshot(Member self, List<Member> members, List<Member> serving, int live) {}

  private record Tombstone(MemberEntry entry, long createdNanos) {}
}
