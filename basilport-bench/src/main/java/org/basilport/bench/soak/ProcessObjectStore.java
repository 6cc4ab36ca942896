package org.basilport.bench.soak;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.basilport.platform.ObjectStore;
import org.basilport.platform.StoredObject;

/** The platform's object store as seen from one simulated process. */
final class ProcessObjectStore implements ObjectStore {
  private final ObjectStore delegate;
  private final ProcessBoundary boundary;

  ProcessObjectStore(ObjectStore delegate, ProcessBoundary boundary) {
    this.delegate = delegate;
    this.boundary = boundary;
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> read(String name) {
    return boundary.call(() -> delegate.read(name));
  }

  @Override
  public CompletableFuture<Long> write(String name, byte[] value, long expectedVersion) {
    return boundary.call(() -> delegate.write(name, value, expectedVersion));
  }

  @Override
  public CompletableFuture<Void> delete(String name, long expectedVersion) {
    return boundary.call(() -> delegate.delete(name, expectedVersion));
  }

  @Override
  public CompletableFuture<List<String>> list(String prefix) {
    return boundary.call(() -> delegate.list(prefix));
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> watch(
      String name, long afterVersion, Duration wait) {
    return boundary.call(() -> delegate.watch(name, afterVersion, wait));
  }
}
