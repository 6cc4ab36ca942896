package org.basilport.policy.dispatch;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Some instances, a network that loses, delays and repeats their messages, and an instance that
 * answers callers. It keeps reports as {@code LoadExchange} does.
 */
final class DirectoryFleet {
  private static final List<String> IDS = List.of("a", "b", "c");
  private static final long LONG_NANOS = TimeUnit.SECONDS.toNanos(8);

  /** What may happen besides deaths. */
  enum Fault {
    LATE_MESSAGES,
    REPEATED_MESSAGES,
    LOST_MESSAGES,
    PAUSES,
    RESTARTS_OF_THE_ANSWERING_INSTANCE,
    RETURNS,
    RETURNS_AT_ANOTHER_ADDRESS
  }

  private record Life(String id, long incarnation, String address) {}

  private record Report(Life sender, long sequence) {}

  private record Question(String id, String address, long number) {}

  private record Reply(Life sender, long number) {}

  private static final class Peer {
    private Report report;
    private long receivedNanos;
    private final LastRunTime lastRun;

    private Peer(SplittableRandom random) {
      lastRun = new LastRunTime(random);
    }
  }

  private final SplittableRandom random;
  private final boolean asks;
  private final EnumSet<Fault> faults;
  private final Map<String, Life> running = new HashMap<>();
  private final Map<String, Long> goneSinceNanos = new HashMap<>();
  private final Map<String, Peer> peers = new HashMap<>();
  private final List<Object> late = new ArrayList<>();
  private final StringBuilder trace = new StringBuilder();
  private List<InstanceAddress> snapshot = List.of();
  private long now = TimeUnit.HOURS.toNanos(1);
  private long starts;
  private long sequence;
  private boolean disturbed;

  /**
   * Creates a fleet that runs.
   *
   * @param asks whether the answering instance asks the others; otherwise it trusts the receipt of
   *     their reports
   */
  DirectoryFleet(long seed, boolean asks, List<Fault> faults) {
    this.random = new SplittableRandom(seed);
    this.asks = asks;
    this.faults = EnumSet.copyOf(faults);
    IDS.forEach(id -> start(id, id + "-0"));
    runUndisturbed(HeartbeatSchedule.INTERVAL_NANOS);
  }

  private void start(String id, String address) {
    starts++;
    running.put(id, new Life(id, starts, address));
    goneSinceNanos.remove(address);
  }

  /** Plays a random event. */
  void step() {
    String id = IDS.get(random.nextInt(IDS.size()));
    boolean runs = running.containsKey(id);
    switch (random.nextInt(8)) {
      case 0:
        if (runs) {
          log("death of " + id);
          goneSinceNanos.put(running.remove(id).address, now);
        }
        break;
      case 1:
        if (!runs && has(Fault.RETURNS_AT_ANOTHER_ADDRESS) && random.nextBoolean()) {
          start(id, id + "-" + (starts + 1));
        } else if (!runs && has(Fault.RETURNS)) {
          start(id, id + "-0");
        }
        log("return");
        break;
      case 2:
        if (has(Fault.RESTARTS_OF_THE_ANSWERING_INSTANCE)) {
          log("restart");
          peers.clear();
          snapshot = List.of();
        }
        break;
      case 3:
        if (has(Fault.PAUSES)) {
          log("pause");
          now += random.nextLong(LONG_NANOS * 2);
        }
        break;
      case 4:
        log("late");
        for (int i = random.nextInt(4); i > 0 && !late.isEmpty(); i--) {
          deliver(late.remove(random.nextInt(late.size())));
        }
        break;
      default:
        log("heartbeats");
        for (int i = random.nextInt(20); i > 0; i--) {
          disturbed = true;
          heartbeat();
          disturbed = false;
        }
        break;
    }
  }

  private boolean has(Fault fault) {
    return faults.contains(fault);
  }

  private void log(String event) {
    trace.append(' ').append(now / 1_000_000).append(' ').append(event).append(',');
  }

  /** Lets time pass without a loss, delay or death. */
  void runUndisturbed(long nanos) {
    for (long end = now + nanos; now < end; ) {
      heartbeat();
    }
  }

  private void heartbeat() {
    now += HeartbeatSchedule.INTERVAL_NANOS;
    for (Life life : List.copyOf(running.values())) {
      send(new Report(life, ++sequence));
    }
    peers.values().removeIf(peer -> liveness(peer) == PeerLiveness.GONE);
    if (asks) {
      peers.forEach(
          (id, peer) ->
              peer.lastRun
                  .nextQuestion(now)
                  .ifPresent(number -> send(new Question(id, peer.report.sender.address, number))));
    }
    snapshot =
        peers.values().stream()
            .map(
                peer ->
                    new InstanceAddress(
                        peer.report.sender.address,
                        "",
                        liveness(peer) == PeerLiveness.REPORTING,
                        asks ? peer.lastRun.nanos() : OptionalLong.of(peer.receivedNanos)))
            .toList();
  }

  private PeerLiveness liveness(Peer peer) {
    return PeerLiveness.of(now - peer.receivedNanos, PeerLiveness.REPORT_TIMEOUT_NANOS);
  }

  private void send(Object message) {
    if (disturbed && has(Fault.LATE_MESSAGES) && random.nextInt(4) == 0) {
      late.add(message);
      return;
    }
    if (disturbed && has(Fault.LOST_MESSAGES) && random.nextInt(4) == 0) {
      return;
    }
    if (disturbed && has(Fault.REPEATED_MESSAGES) && random.nextInt(4) == 0) {
      late.add(message);
    }
    deliver(message);
  }

  private void deliver(Object message) {
    if (message instanceof Report) {
      onReport((Report) message);
    } else if (message instanceof Question) {
      onQuestion((Question) message);
    } else {
      onReply((Reply) message);
    }
  }

  private void onReport(Report report) {
    Peer peer = peers.computeIfAbsent(report.sender.id, id -> new Peer(random));
    if (peer.report != null
        && (peer.report.sender.incarnation > report.sender.incarnation
            || peer.report.sequence >= report.sequence)) {
      return;
    }
    peer.report = report;
    peer.receivedNanos = now;
    peer.lastRun.onReport(report.sender.incarnation);
  }

  private void onQuestion(Question question) {
    Life life = running.get(question.id);
    if (life != null && life.address.equals(question.address)) {
      send(new Reply(life, question.number));
    }
  }

  private void onReply(Reply reply) {
    Peer peer = peers.get(reply.sender.id);
    if (peer != null && peer.report.sender.address.equals(reply.sender.address)) {
      peer.lastRun.onReply(reply.number);
    }
  }

  /** What a caller is answered now. */
  List<String> answer() {
    return asks
        ? InstanceAddressSelector.select(snapshot, AllowedRegions.ALL, "", now).addresses()
        : snapshot.stream().filter(InstanceAddress::ready).map(InstanceAddress::address).toList();
  }

  /** Longest time since the death of an instance that a caller is answered now. */
  long longestGoneNanos() {
    return answer().stream()
        .mapToLong(address -> now - goneSinceNanos.getOrDefault(address, now))
        .max()
        .orElse(0);
  }

  List<String> runningAddresses() {
    return running.values().stream().map(Life::address).toList();
  }

  String trace() {
    return trace.toString();
  }
}
