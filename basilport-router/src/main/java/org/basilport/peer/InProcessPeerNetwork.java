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
 * Simulated network of peers in one process, with random latency, partitions and paused instances.
 * All methods must be called on the thread of the scheduler.
 */
public final class InProcessPeerNetwork {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

  private final Scheduler scheduler;
  private final SplittableRandom random;
  private final Duration minLatency;
  private final Duration maxLatency;
  private final Map<String, PeerClient> endpoints = new HashMap<>();
  private final Map<String, PausableScheduler> schedulers = new HashMap<>();
  private final Set<String> partitionedLinks = new HashSet<>();
  private long gossipMessages;
  private long gossipBytes;
  private long configurationBytes;

  /** Creates a network whose one-way latency is uniformly distributed over a range. */
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

  /** Returns the scheduler of the instance at an address; it runs no tasks during a pause. */
  public Scheduler scheduler(String address) {
    return pausableScheduler(address);
  }

  /** Returns the connector of the instance at an address. */
  public PeerConnector connector(String from) {
    return to -> new Link(from, to);
  }

  /** Makes an instance reachable and replaces an earlier one at the same address. */
  public void register(String address, PeerClient endpoint) {
    endpoints.put(address, endpoint);
  }

  /** Makes an instance unreachable, as after a crash: calls to it are refused. */
  public void unregister(String address) {
    endpoints.remove(address);
  }

  /** Drops all messages between two addresses, in both directions. */
  public void partition(String first, String second) {
    partitionedLinks.add(first + ">" + second);
    partitionedLinks.add(second + ">" + first);
  }

  /** Drops all messages between an address and all other registered addresses. */
  public void isolate(String address) {
    endpoints.keySet().stream()
        .filter(other -> !other.equals(address))
        .forEach(other -> partition(address, other));
  }

  /** Ends all partitions of one address. */
  public void heal(String address) {
    partitionedLinks.removeIf(
        link -> link.startsWith(address + ">") || link.endsWith(">" + address));
  }

  /** Ends all partitions. */
  public void heal() {
    partitionedLinks.clear();
  }

  /** Pauses the scheduler of an instance; tasks and calls that arrive are held. */
  public void pause(String address) {
    pausableScheduler(address).pause();
  }

  /** Resumes a paused instance and runs the held tasks. */
  public void resume(String address) {
    pausableScheduler(address).resume();
  }

  /** Returns the number of gossip messages sent, both requests and replies. */
  public long gossipMessages() {
    return gossipMessages;
  }

  /** Returns the total size of the gossip messages sent, in bytes. */
  public long gossipBytes() {
    return gossipBytes;
  }

  /** Returns the total size of the configuration messages sent, in bytes. */
  public long configurationBytes() {
    return configurationBytes;
  }

  private PausableScheduler pausableScheduler(String address) {
    return schedulers.computeIfAbsent(address, ignored -> new PausableScheduler(scheduler));
  }

  private Duration latency() {
    long range = maxLatency.toNanos() - minLatency.toNanos();
    return minLatency.plusNanos(range <= 0 ? 0 : random.nextLong(range));
  }

  private boolean isConnected(String from, String to) {
    return !partitionedLinks.contains(from + ">" + to);
  }

  private GossipMessage countGossip(GossipMessage message) {
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
    Scheduler caller = pausableScheduler(from);
    Cancellable timer =
        caller.schedule(
            CALL_TIMEOUT, () -> result.completeExceptionally(PeerFailures.timedOut(to)));
    result.whenComplete((value, failure) -> timer.cancel());
    scheduler.schedule(
        latency(), () -> pausableScheduler(to).execute(() -> deliver(from, to, call, result)));
    return result;
  }

  private <T> void deliver(
      String from,
      String to,
      Function<PeerClient, CompletableFuture<T>> call,
      CompletableFuture<T> result) {
    if (!isConnected(from, to)) {
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
          if (isConnected(to, from)) {
            pausableScheduler(from).execute(completion);
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
      countGossip(message);
      return send(
          from,
          to,
          peer -> peer.exchange(message).thenApply(InProcessPeerNetwork.this::countGossip));
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
