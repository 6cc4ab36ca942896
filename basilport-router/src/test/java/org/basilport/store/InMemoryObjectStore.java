package org.basilport.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.basilport.error.ConflictException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.error.UnavailableException;
import org.basilport.misc.Scheduler;
import org.basilport.platform.ObjectStore;
import org.basilport.platform.StoredObject;

/**
 * In-memory object store with simulated outages, lost responses and held writes; responds
 * immediately if it has no scheduler.
 */
public final class InMemoryObjectStore implements ObjectStore {
  private final TreeMap<String, StoredObject> objects = new TreeMap<>();
  private final List<Watch> watches = new ArrayList<>();
  private final Scheduler scheduler;
  private String lostResponseName = "";
  private boolean lostWriteTakesEffect;
  private boolean outageAfterLostResponse;
  private String heldWriteName = "";
  private CompletableFuture<Long> heldWrite;
  private boolean outage;
  private int largestValueBytes;
  private long calls;

  public InMemoryObjectStore() {
    this(null);
  }

  public InMemoryObjectStore(Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  public void outage(boolean down) {
    outage = down;
    if (down) {
      List<Watch> open = List.copyOf(watches);
      watches.clear();
      open.forEach(watch -> watch.result.completeExceptionally(unavailable()));
    }
  }

  public void loseNextResponse(String name, boolean takesEffect) {
    lostResponseName = name;
    lostWriteTakesEffect = takesEffect;
  }

  public void failAfterLostResponse() {
    outageAfterLostResponse = true;
  }

  /**
   * Holds the next write of an object until the returned future completes; later writes proceed.
   */
  public CompletableFuture<Long> holdNextWrite(String name) {
    heldWriteName = name;
    heldWrite = new CompletableFuture<>();
    return heldWrite;
  }

  public int largestValueBytes() {
    return largestValueBytes;
  }

  public long calls() {
    return calls;
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> read(String name) {
    return respond(() -> Optional.ofNullable(objects.get(name)));
  }

  @Override
  public CompletableFuture<Long> write(String name, byte[] value, long expectedVersion) {
    if (name.equals(heldWriteName)) {
      heldWriteName = "";
      return heldWrite.thenCompose(ignored -> write(name, value, expectedVersion));
    }
    if (name.equals(lostResponseName)) {
      lostResponseName = "";
      if (lostWriteTakesEffect) {
        store(name, value, expectedVersion);
      }
      outage |= outageAfterLostResponse;
      return CompletableFuture.failedFuture(unavailable());
    }
    return respond(() -> store(name, value, expectedVersion));
  }

  @Override
  public CompletableFuture<Void> delete(String name, long expectedVersion) {
    return respond(
        () -> {
          check(name, expectedVersion);
          objects.remove(name);
          return null;
        });
  }

  @Override
  public CompletableFuture<List<String>> list(String prefix) {
    return respond(
        () -> objects.keySet().stream().filter(name -> name.startsWith(prefix)).toList());
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> watch(
      String name, long afterVersion, Duration wait) {
    StoredObject current = objects.get(name);
    if (outage || scheduler == null || (current != null && current.version() > afterVersion)) {
      return read(name);
    }
    calls++;
    Watch watch = new Watch(name, new CompletableFuture<>());
    watches.add(watch);
    scheduler.schedule(
        wait,
        () -> {
          watches.remove(watch);
          watch.result.complete(Optional.empty());
        });
    return watch.result;
  }

  private Long store(String name, byte[] value, long expectedVersion) {
    check(name, expectedVersion);
    StoredObject stored = new StoredObject(name, expectedVersion + 1, value);
    objects.put(name, stored);
    largestValueBytes = Math.max(largestValueBytes, value.length);
    List<Watch> ended = watches.stream().filter(watch -> watch.name.equals(name)).toList();
    watches.removeAll(ended);
    ended.forEach(watch -> watch.result.complete(Optional.of(stored)));
    return stored.version();
  }

  private void check(String name, long expectedVersion) {
    long version = objects.containsKey(name) ? objects.get(name).version() : ABSENT;
    if (version != expectedVersion) {
      throw new ConflictException(Step.STORE, "platform", name + " has version " + version);
    }
  }

  private <T> CompletableFuture<T> respond(Supplier<T> action) {
    calls++;
    CompletableFuture<T> result = new CompletableFuture<>();
    Runnable task =
        () -> {
          try {
            if (outage) {
              throw unavailable();
            }
            result.complete(action.get());
          } catch (ConflictException | UnavailableException e) {
            result.completeExceptionally(e);
          }
        };
    if (scheduler == null) {
      task.run();
    } else {
      scheduler.schedule(Duration.ofMillis(2), task);
    }
    return result;
  }

  private static UnavailableException unavailable() {
    return new UnavailableException(
        FailureCode.PLATFORM_UNAVAILABLE,
        Outcome.MAY_HAVE_RUN,
        Step.STORE,
        "platform",
        null,
        "the platform does not respond",
        null);
  }

  private record Watch(String name, CompletableFuture<Optional<StoredObject>> result) {}
}
