package org.basilport.peer;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.basilport.misc.Cancellable;
import org.basilport.misc.Scheduler;
import org.basilport.protocol.ConfigurationMessage;
import org.basilport.protocol.DrainReply;
import org.basilport.protocol.DrainRequest;
import org.basilport.protocol.FetchConfigurationRequest;
import org.basilport.protocol.GossipMessage;
import org.basilport.protocol.IsolationReply;
import org.basilport.protocol.IsolationRequest;
import org.basilport.protocol.TimelineMessage;
import org.basilport.protocol.TimelineQuery;

/**
 * Peers in one process with seeded latency, partitions between addresses and paused instances. All
 * methods run on the thread of the scheduler.
 */
public final class InProcessPeerNetwork {
  private static final Duration CALL_LIMIT = Duration.ofSeconds(1);

  private final Scheduler scheduler;
  private final SplittableRandom random;
  private final Duration minLatency;
  private final Duration maxLatency;
  private final Map<String, PeerClient> endpoints = new HashMap<>();
  private final Map<String, PausableScheduler> schedulers = new HashMap<>();
  private final Set<String> cuts = new HashSet<>();
  private long gossipMessages;
  private long gossipBytes;
  private long configurationBytes;

  /** Creates a network whose one-way latency is drawn from a range. */
  public InProcessPeerNetwork(
      Scheduler scheduler, SplittableRandom random, Duration minLatency, Duration maxLatency) {
    this.scheduler = scheduler;
    this.random = random;
    this.minLatency = minLatency;
    this.maxLatency = maxLatency;
  }

  /** Creates a network with a one-way latency of 1 to 2 ms. */
  public InProcessPeerNetwork(Scheduler scheduler, SplittableRandom random) {
    this(scheduler, random, Duration.ofMillis(1), Duration.ofMillis(2));
  }

  /** The scheduler of the instance at an address, which stands still while it is paused. */
  public Scheduler scheduler(String address) {
    return pausable(address);
  }

  /** The connector of the instance at an address. */
  public PeerConnector connector(String from) {
    return to -> new Link(from, to);
  }

  /** Makes an instance reachable; an earlier one at the address is replaced. */
  public void register(String address, PeerClient endpoint) {
    endpoints.put(address, endpoint);
  }

  /** Makes an instance unreachable, as after its death: calls to it are refused. */
  public void unregister(String address) {
    endpoints.remove(address);
  }

  /** Drops all messages between two addresses, in both directions. */
  public void partition(String first, String second) {
    cuts.add(first + ">" + second);
    cuts.add(second + ">" + first);
  }

  /** Drops all messages between an address and all others. */
  public void isolate(String address) {
    endpoints.keySet().stream()
        .filter(other -> !other.equals(address))
        .forEach(other -> partition(address, other));
  }

  /** Ends all partitions of one address. */
  public void heal(String address) {
    cuts.removeIf(cut -> cut.startsWith(address + ">") || cut.endsWith(">" + address));
  }

  /** Ends all partitions. */
  public void heal() {
    cuts.clear();
  }

  /** Stops the scheduler of an instance; what arrives there waits. */
  public void pause(String address) {
    pausable(address).pause();
  }

  /** Continues a paused instance. */
  public void resume(String address) {
    pausable(address).resume();
  }

  /** Number of gossip messages that were sent, requests and replies. */
  public long gossipMessages() {
    return gossipMessages;
  }

  /** Total size of the gossip messages that were sent, in bytes. */
  public long gossipBytes() {
    return gossipBytes;
  }

  /** Total size of the configurations that were sent between instances, in bytes. */
  public long configurationBytes() {
    return configurationBytes;
  }

  private PausableScheduler pausable(String address) {
    return schedulers.computeIfAbsent(address, ignored -> new PausableScheduler(scheduler));
  }

  private Duration latency() {
    long range = maxLatency.toNanos() - minLatency.toNanos();
    return minLatency.plusNanos(range <= 0 ? 0 : random.nextLong(range));
  }

  private boolean open(String from, String to) {
    return !cuts.contains(from + ">" + to);
  }

  private GossipMessage count(GossipMessage message) {
    gossipMessages++;
    gossipBytes += message.getSerializedSize();
    return message;
  }

  private ConfigurationMessage countConfiguration(ConfigurationMessage message) {
    configurationBytes += message.getSerializedSize();
    return message;
  }

  private <T> CompletableFuture<T> send(
      String from, String to, Function<PeerClient, CompletableFuture<T>> call) {
    CompletableFuture<T> result = new CompletableFuture<>();
    Scheduler caller = pausable(from);
    Cancellable timer =
        caller.schedule(CALL_LIMIT, () -> result.completeExceptionally(PeerFailures.timedOut(to)));
    result.whenComplete((value, failure) -> timer.cancel());
    scheduler.schedule(
        latency(), () -> pausable(to).execute(() -> deliver(from, to, call, result)));
    return result;
  }

  private <T> void deliver(
      String from,
      String to,
      Function<PeerClient, CompletableFuture<T>> call,
      CompletableFuture<T> result) {
    if (!open(from, to)) {
      return;
    }
    PeerClient endpoint = endpoints.get(to);
    if (endpoint == null) {
      reply(from, to, () -> result.completeExceptionally(PeerFailures.unreachable(to, null)));
      return;
    }
    call.apply(endpoint)
        .whenComplete(
            (value, failure) ->
                reply(
                    from,
                    to,
                    () -> {
                      if (failure == null) {
                        result.complete(value);
                      } else {
                        result.completeExceptionally(failure);
                      }
                    }));
  }

  private void reply(String from, String to, Runnable completion) {
    scheduler.schedule(
        latency(),
        () -> {
          if (open(to, from)) {
            pausable(from).execute(completion);
          }
        });
  }

  /** Calls from one instance to another. */
  private final class Link implements PeerClient {
    private final String from;
    private final String to;

    Link(String from, String to) {
      this.from = from;
      this.to = to;
    }

    @Override
    public CompletableFuture<GossipMessage> exchange(GossipMessage message) {
      count(message);
      return send(
          from, to, peer -> peer.exchange(message).thenApply(InProcessPeerNetwork.this::count));
    }

    @Override
    public CompletableFuture<ConfigurationMessage> fetchConfiguration(
        FetchConfigurationRequest request) {
      return send(
          from,
          to,
          peer ->
              peer.fetchConfiguration(request)
                  .thenApply(InProcessPeerNetwork.this::countConfiguration));
    }

    @Override
    public CompletableFuture<TimelineMessage> fetchTimeline(TimelineQuery query) {
      return send(from, to, peer -> peer.fetchTimeline(query));
    }

    @Override
    public CompletableFuture<IsolationReply> acquireIsolation(IsolationRequest request) {
      return send(from, to, peer -> peer.acquireIsolation(request));
    }

    @Override
    public CompletableFuture<IsolationReply> releaseIsolation(IsolationRequest request) {
      return send(from, to, peer -> peer.releaseIsolation(request));
    }

    @Override
    public CompletableFuture<DrainReply> drain(DrainRequest request) {
      return send(from, to, peer -> peer.drain(request));
    }
  }
}
