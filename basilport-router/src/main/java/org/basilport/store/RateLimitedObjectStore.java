package org.basilport.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.basilport.platform.ObjectStore;
import org.basilport.platform.StoredObject;

/** Object store whose calls are subject to the platform call limiter. */
public final class RateLimitedObjectStore implements ObjectStore {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration WATCH_GRACE = Duration.ofSeconds(1);

  private final ObjectStore delegate;
  private final PlatformCallLimiter callLimiter;

  /** Creates a store that forwards permitted calls to the platform's store. */
  public RateLimitedObjectStore(ObjectStore delegate, PlatformCallLimiter callLimiter) {
    this.delegate = delegate;
    this.callLimiter = callLimiter;
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> read(String name) {
    return callLimiter.call(CallKind.READ, "read " + name, CALL_TIMEOUT, () -> delegate.read(name));
  }

  @Override
  public CompletableFuture<Long> write(String name, byte[] value, long expectedVersion) {
    return callLimiter.call(
        CallKind.WRITE,
        "write " + name,
        CALL_TIMEOUT,
        () -> delegate.write(name, value, expectedVersion));
  }

  @Override
  public CompletableFuture<Void> delete(String name, long expectedVersion) {
    return callLimiter.call(
        CallKind.DELETE,
        "delete " + name,
        CALL_TIMEOUT,
        () -> delegate.delete(name, expectedVersion));
  }

  @Override
  public CompletableFuture<List<String>> list(String prefix) {
    return callLimiter.call(
        CallKind.LIST, "list " + prefix, CALL_TIMEOUT, () -> delegate.list(prefix));
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> watch(
      String name, long afterVersion, Duration wait) {
    return callLimiter.call(
        CallKind.WATCH,
        "watch " + name,
        wait.plus(WATCH_GRACE),
        () -> delegate.watch(name, afterVersion, wait));
  }
}
