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

/** A store in memory with outages, lost answers and held writes; answers at once by default. */
public final class FakeObjectStore implements ObjectStore {
  private final TreeMap<String, StoredObject> objects = new TreeMap<>();
  private final List<Watch> watches = new ArrayList<>();
  private final Scheduler scheduler;
  private String lostName = "";
  private boolean lostTakesEffect;
  private boolean outageAfterLost;
  private String heldName = "";
  private CompletableFuture<Long> held;
  private boolean outage;
  private int largestValue;
  private long calls;

  public FakeObjectStore() {
    this(null);
  }

  public FakeObjectStore(Scheduler scheduler) {
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

  public void loseNextAnswer(String name, boolean takesEffect) {
    lostName = name;
    lostTakesEffect = takesEffect;
  }

  public void outageAfterLostAnswer() {
    outageAfterLost = true;
  }

  /** Holds the next write of an object until the result completes; later writes pass it. */
  public CompletableFuture<Long> holdNextWrite(String name) {
    heldName = name;
    held = new CompletableFuture<>();
    return held;
  }

  public int largestValue() {
    return largestValue;
  }

  public long calls() {
    return calls;
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> read(String name) {
    return answer(() -> Optional.ofNullable(objects.get(name)));
  }

  @Override
  public CompletableFuture<Long> write(String name, byte[] value, long expectedVersion) {
    if (name.equals(heldName)) {
      heldName = "";
      return held.thenCompose(ignored -> write(name, value, expectedVersion));
    }
    if (name.equals(lostName)) {
      lostName = "";
      if (lostTakesEffect) {
        store(name, value, expectedVersion);
      }
      outage |= outageAfterLost;
      return CompletableFuture.failedFuture(unavailable());
    }
    return answer(() -> store(name, value, expectedVersion));
  }

  @Override
  public CompletableFuture<Void> delete(String name, long expectedVersion) {
    return answer(
        () -> {
          check(name, expectedVersion);
          objects.remove(name);
          return null;
        });
  }

  @Override
  public CompletableFuture<List<String>> list(String prefix) {
    return answer(() -> objects.keySet().stream().filter(name -> name.startsWith(prefix)).toList());
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
    largestValue = Math.max(largestValue, value.length);
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

  private <T> CompletableFuture<T> answer(Supplier<T> action) {
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
        "the platform does not answer",
        null);
  }

  private record Watch(String name, CompletableFuture<Optional<StoredObject>> result) {}
}
