package org.basilport.fake;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.basilport.error.ConflictException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.error.UnavailableException;
import org.basilport.misc.VirtualScheduler;
import org.basilport.platform.ObjectStore;
import org.basilport.platform.StoredObject;

/** An object store in memory with faults that tests switch on. */
public final class FakeObjectStore implements ObjectStore {
  /** Time from a call to its effect, and from the effect to the answer. */
  public static final Duration LATENCY = Duration.ofMillis(2);

  private static final Duration LATE = Duration.ofSeconds(10);

  /** Whether calls fail without an effect. */
  public boolean unavailable;

  /** Number of writes that take effect while their answer is lost. */
  public int lostResponses;

  /** Whether writes replace objects whatever their version, which breaks every claim. */
  public boolean ignoresVersions;

  /** Whether the answer to a write names the version that was replaced. */
  public boolean returnsReplacedVersion;

  /** Number of writes that took effect. */
  public int writes;

  /** Number of writes that fail at once and take effect ten seconds later. */
  public int delayedWrites;

  /** Extra time before a write takes effect. */
  public Duration writeDelay = Duration.ZERO;

  private final VirtualScheduler scheduler;
  private final TreeMap<String, StoredObject> objects = new TreeMap<>();

  /** Creates an empty store. */
  public FakeObjectStore(VirtualScheduler scheduler) {
    this.scheduler = scheduler;
  }

  /** Returns an object at once. */
  public Optional<StoredObject> stored(String name) {
    return Optional.ofNullable(objects.get(name));
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> read(String name) {
    CompletableFuture<Optional<StoredObject>> answer = new CompletableFuture<>();
    scheduler.schedule(
        LATENCY,
        () -> {
          Optional<StoredObject> found = stored(name);
          boolean failed = unavailable;
          scheduler.schedule(
              LATENCY,
              () -> {
                if (failed) {
                  answer.completeExceptionally(outage());
                } else {
                  answer.complete(found);
                }
              });
        });
    return answer;
  }

  @Override
  public CompletableFuture<Long> write(String name, byte[] value, long expectedVersion) {
    CompletableFuture<Long> answer = new CompletableFuture<>();
    if (delayedWrites > 0) {
      delayedWrites--;
      scheduler.schedule(LATENCY, () -> answer.completeExceptionally(outage()));
      CompletableFuture<Long> unheard = new CompletableFuture<>();
      scheduler.schedule(LATE, () -> takeEffect(name, value, expectedVersion, unheard));
      return answer;
    }
    scheduler.schedule(
        LATENCY.plus(writeDelay), () -> takeEffect(name, value, expectedVersion, answer));
    return answer;
  }

  private void takeEffect(
      String name, byte[] value, long expectedVersion, CompletableFuture<Long> answer) {
    long version = stored(name).map(StoredObject::version).orElse(ABSENT);
    if (unavailable) {
      scheduler.schedule(LATENCY, () -> answer.completeExceptionally(outage()));
    } else if (version != expectedVersion && !ignoresVersions) {
      scheduler.schedule(
          LATENCY,
          () -> answer.completeExceptionally(new ConflictException(Step.STORE, name, "version")));
    } else {
      objects.put(name, new StoredObject(name, version + 1, value));
      writes++;
      boolean lost = lostResponses > 0;
      lostResponses = Math.max(0, lostResponses - 1);
      scheduler.schedule(
          LATENCY,
          () -> {
            if (lost) {
              answer.completeExceptionally(outage());
            } else {
              answer.complete(returnsReplacedVersion ? version : version + 1);
            }
          });
    }
  }

  @Override
  public CompletableFuture<Void> delete(String name, long expectedVersion) {
    objects.remove(name);
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public CompletableFuture<List<String>> list(String prefix) {
    List<String> names = objects.keySet().stream().filter(n -> n.startsWith(prefix)).toList();
    return CompletableFuture.completedFuture(names);
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> watch(
      String name, long afterVersion, Duration wait) {
    return read(name);
  }

  private static UnavailableException outage() {
    return new UnavailableException(
        FailureCode.PLATFORM_UNAVAILABLE,
        Outcome.MAY_HAVE_RUN,
        Step.STORE,
        "platform",
        null,
        "no answer",
        null);
  }
}
