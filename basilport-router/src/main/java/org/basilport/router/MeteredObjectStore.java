package org.basilport.router;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.basilport.delivery.TrafficMetrics;
import org.basilport.error.BasilportException;
import org.basilport.error.ConflictException;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.platform.ObjectStore;
import org.basilport.platform.StoredObject;

/** Counts the failed calls of another object store. */
final class MeteredObjectStore implements ObjectStore {
  private final ObjectStore store;
  private final TrafficMetrics metrics;

  MeteredObjectStore(ObjectStore store, TrafficMetrics metrics) {
    this.store = store;
    this.metrics = metrics;
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> read(String name) {
    return metered("read", store.read(name));
  }

  @Override
  public CompletableFuture<Long> write(String name, byte[] value, long expectedVersion) {
    return metered("write", store.write(name, value, expectedVersion));
  }

  @Override
  public CompletableFuture<Void> delete(String name, long expectedVersion) {
    return metered("delete", store.delete(name, expectedVersion));
  }

  @Override
  public CompletableFuture<List<String>> list(String prefix) {
    return metered("list", store.list(prefix));
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> watch(
      String name, long afterVersion, Duration wait) {
    return metered("watch", store.watch(name, afterVersion, wait));
  }

  private <T> CompletableFuture<T> metered(String operation, CompletableFuture<T> call) {
    return call.whenComplete(
        (result, failure) -> {
          if (failure != null && !isConflict(failure)) {
            metrics.countPlatformFailure(operation);
          }
        });
  }

  private static boolean isConflict(Throwable failure) {
    return BasilportException.unwrap(failure, Outcome.NOT_RUN, Step.STORE)
        instanceof ConflictException;
  }
}
