package org.basilport.standin.platform;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.basilport.error.BasilportException;
import org.basilport.error.ConflictException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.RejectedException;
import org.basilport.error.Step;
import org.basilport.error.UnavailableException;
import org.basilport.misc.Cancellable;
import org.basilport.misc.Scheduler;
import org.basilport.platform.InstanceDirectory;
import org.basilport.platform.InstanceState;
import org.basilport.platform.ListedInstance;
import org.basilport.platform.ObjectStore;
import org.basilport.platform.StoredObject;
import org.basilport.platform.WeightStore;

/**
 * In-memory platform. Object versions come from one counter for all objects, so an object that is
 * deleted and created again gets a larger version.
 *
 * <p>A call takes effect after half of its latency, and its result completes on the scheduler after
 * the other half.
 */
public final class MemoryPlatform implements ObjectStore, InstanceDirectory, WeightStore {
  private static final String PEER = "platform";

  private final Scheduler scheduler;
  private final SplittableRandom random;
  private final CallCounts counts = new CallCounts();
  private final PlatformFaults faults = new PlatformFaults(this::endUnreachableWatches);
  private final PlatformClient directClient = client("direct");
  private final TreeMap<String, StoredObject> objects = new TreeMap<>();
  private final List<Watch> watches = new ArrayList<>();
  private final Map<String, ListedInstance> instances = new TreeMap<>();
  private final Map<String, ListedInstance> visibleInstances = new TreeMap<>();
  private final Deque<Runnable> pendingChanges = new ArrayDeque<>();
  private WeightFetchLimiter weightFetchLimiter;
  private long lastVersion;

  /** Creates an empty platform; the random source decides which responses are lost. */
  public MemoryPlatform(Scheduler scheduler, SplittableRandom random) {
    this.scheduler = scheduler;
    this.random = random;
    this.weightFetchLimiter =
        new WeightFetchLimiter(4, Duration.ofSeconds(10), scheduler.nanoTime());
  }

  /** Fault injection settings. */
  public PlatformFaults faults() {
    return faults;
  }

  /** Call counters of all clients. */
  public CallCounts counts() {
    return counts;
  }

  /** Returns access to the platform for one client. */
  public PlatformClient client(String clientId) {
    return new PlatformClient(this, clientId);
  }

  /** Limits weight fetches to a burst, plus one fetch per refill interval. */
  public synchronized void limitWeightFetches(int burst, Duration refill) {
    weightFetchLimiter = new WeightFetchLimiter(burst, refill, scheduler.nanoTime());
  }

  /**
   * Adds or replaces an entry of the instance directory; the change is visible after the
   * directory's lag.
   */
  public synchronized void putInstance(ListedInstance instance) {
    instances.put(instance.id(), instance);
    publish(() -> visibleInstances.put(instance.id(), instance));
  }

  /**
   * Removes an entry from the instance directory; the change is visible after the directory's lag.
   */
  public synchronized void removeInstance(String id) {
    instances.remove(id);
    publish(() -> visibleInstances.remove(id));
  }

  /** Marks an entry as leaving; does nothing when there is no such entry. */
  public synchronized void markLeaving(String id) {
    ListedInstance instance = instances.get(id);
    if (instance != null) {
      putInstance(instance.withState(InstanceState.LEAVING));
    }
  }

  private void publish(Runnable change) {
    Duration lag = faults.instanceDirectoryLag();
    if (lag.isZero() && pendingChanges.isEmpty()) {
      change.run();
      return;
    }
    pendingChanges.add(change);
    scheduler.schedule(lag, this::publishNextChange);
  }

  private synchronized void publishNextChange() {
    // Keeps the order of changes even if the lag was shortened while one of them was pending.
    pendingChanges.remove().run();
  }

  <T> CompletableFuture<T> call(String clientId, CallKind kind, Supplier<T> operation) {
    CompletableFuture<T> result = new CompletableFuture<>();
    counts.increment(clientId, kind);
    scheduler.schedule(faults.oneWayLatency(), () -> apply(clientId, kind, operation, result));
    return result;
  }

  private <T> void apply(
      String clientId, CallKind kind, Supplier<T> operation, CompletableFuture<T> result) {
    if (faults.isUnreachable(clientId)) {
      result.completeExceptionally(unavailable(kind, "the platform is unreachable"));
      return;
    }
    T value;
    try {
      value = operation.get();
    } catch (BasilportException e) {
      scheduler.schedule(faults.oneWayLatency(), () -> result.completeExceptionally(e));
      return;
    }
    if (kind == CallKind.WRITE && losesResponse()) {
      UnavailableException lost = unavailable(kind, "the response of the platform was lost");
      scheduler.schedule(faults.lostResponseTimeout(), () -> result.completeExceptionally(lost));
      return;
    }
    scheduler.schedule(faults.oneWayLatency(), () -> complete(clientId, kind, value, result));
  }

  private synchronized boolean losesResponse() {
    return faults.drawResponseLoss(random.nextDouble());
  }

  /** Completes a call; fails it if the platform has become unreachable for the client. */
  private <T> void complete(String clientId, CallKind kind, T value, CompletableFuture<T> result) {
    if (faults.isUnreachable(clientId)) {
      result.completeExceptionally(unavailable(kind, "the response of the platform was lost"));
    } else {
      result.complete(value);
    }
  }

  private static UnavailableException unavailable(CallKind kind, String message) {
    Outcome outcome = kind == CallKind.WRITE ? Outcome.MAY_HAVE_RUN : Outcome.NOT_RUN;
    return new UnavailableException(
        FailureCode.PLATFORM_UNAVAILABLE, outcome, Step.STORE, PEER, null, message, null);
  }

  synchronized Optional<StoredObject> applyRead(String name) {
    return Optional.ofNullable(objects.get(name));
  }

  synchronized Long applyWrite(String name, byte[] value, long expectedVersion) {
    if (value.length > MAX_VALUE_BYTES) {
      String message = name + " has " + value.length + " bytes, more than " + MAX_VALUE_BYTES;
      throw new RejectedException(FailureCode.TOO_LARGE, Step.STORE, message);
    }
    requireVersion(name, expectedVersion);
    StoredObject stored = new StoredObject(name, ++lastVersion, value);
    objects.put(name, stored);
    for (Watch watch : List.copyOf(watches)) {
      if (watch.name.equals(name) && watch.afterVersion < stored.version()) {
        endWatch(watch, Optional.of(stored));
      }
    }
    return stored.version();
  }

  synchronized Void applyDelete(String name, long expectedVersion) {
    requireVersion(name, expectedVersion);
    objects.remove(name);
    return null;
  }

  private void requireVersion(String name, long expectedVersion) {
    StoredObject current = objects.get(name);
    long version = current == null ? ABSENT : current.version();
    if (version != expectedVersion) {
      String message = name + " has version " + version + ", expected " + expectedVersion;
      throw new ConflictException(Step.STORE, PEER, message);
    }
  }

  synchronized List<String> applyList(String prefix) {
    return objects.tailMap(prefix, true).keySet().stream()
        .takeWhile(name -> name.startsWith(prefix))
        .toList();
  }

  synchronized List<ListedInstance> applyListInstances() {
    return List.copyOf(visibleInstances.values());
  }

  synchronized Void applyReserveFetch(String model, String version) {
    Duration wait = weightFetchLimiter.tryAcquire(scheduler.nanoTime());
    if (!wait.isZero()) {
      String message =
          "the fetch limit of the weight store is reached; retry "
              + model
              + " "
              + version
              + " later";
      throw new RejectedException(FailureCode.OVER_LIMIT, Step.STORE, wait, message);
    }
    return null;
  }

  CompletableFuture<Optional<StoredObject>> watch(
      String clientId, String name, long afterVersion, Duration wait) {
    CompletableFuture<Optional<StoredObject>> result = new CompletableFuture<>();
    Watch watch = new Watch(clientId, name, afterVersion, result);
    counts.increment(clientId, CallKind.WATCH);
    scheduler.schedule(faults.oneWayLatency(), () -> startWatch(watch, wait));
    return result;
  }

  private synchronized void startWatch(Watch watch, Duration wait) {
    StoredObject current = objects.get(watch.name);
    if (faults.isUnreachable(watch.clientId)) {
      // Completes on the scheduler so that callbacks of the result do not run under the lock.
      scheduler.execute(
          () -> complete(watch.clientId, CallKind.WATCH, Optional.empty(), watch.result));
      return;
    }
    watches.add(watch);
    if (current != null && current.version() > watch.afterVersion) {
      endWatch(watch, Optional.of(current));
    } else {
      watch.timer = scheduler.schedule(wait, () -> endWatch(watch, Optional.empty()));
    }
  }

  private synchronized void endWatch(Watch watch, Optional<StoredObject> value) {
    if (watches.remove(watch)) {
      watch.timer.cancel();
      scheduler.schedule(
          faults.oneWayLatency(),
          () -> complete(watch.clientId, CallKind.WATCH, value, watch.result));
    }
  }

  private synchronized void endUnreachableWatches() {
    for (Watch watch : List.copyOf(watches)) {
      if (faults.isUnreachable(watch.clientId)) {
        endWatch(watch, Optional.empty());
      }
    }
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> read(String name) {
    return directClient.read(name);
  }

  @Override
  public CompletableFuture<Long> write(String name, byte[] value, long expectedVersion) {
    return directClient.write(name, value, expectedVersion);
  }

  @Override
  public CompletableFuture<Void> delete(String name, long expectedVersion) {
    return directClient.delete(name, expectedVersion);
  }

  @Override
  public CompletableFuture<List<String>> list(String prefix) {
    return directClient.list(prefix);
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> watch(
      String name, long afterVersion, Duration wait) {
    return directClient.watch(name, afterVersion, wait);
  }

  @Override
  public CompletableFuture<List<ListedInstance>> list() {
    return directClient.list();
  }

  @Override
  public CompletableFuture<Void> reserveFetch(String model, String version) {
    return directClient.reserveFetch(model, version);
  }

  private static final class Watch {
    private final String clientId;
    private final String name;
    private final long afterVersion;
    private final CompletableFuture<Optional<StoredObject>> result;
    private Cancellable timer = () -> {};

    Watch(
        String clientId,
        String name,
        long afterVersion,
        CompletableFuture<Optional<StoredObject>> result) {
      this.clientId = clientId;
      this.name = name;
      this.afterVersion = afterVersion;
      this.result = result;
    }
  }
}
