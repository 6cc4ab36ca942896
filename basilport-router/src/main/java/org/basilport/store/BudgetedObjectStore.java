package org.basilport.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.basilport.platform.ObjectStore;
import org.basilport.platform.StoredObject;

/** An object store whose calls pass the platform gate. */
public final class BudgetedObjectStore implements ObjectStore {
  private static final Duration CALL_LIMIT = Duration.ofSeconds(2);
  private static final Duration WATCH_SLACK = Duration.ofSeconds(1);

  private final ObjectStore delegate;
  private final PlatformGate gate;

  /** Creates a store over the platform's own one. */
  public BudgetedObjectStore(ObjectStore delegate, PlatformGate gate) {
    this.delegate = delegate;
    this.gate = gate;
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> read(String name) {
    return gate.call(CallKind.READ, "read " + name, CALL_LIMIT, () -> delegate.read(name));
  }

  @Override
  public CompletableFuture<Long> write(String name, byte[] value, long expectedVersion) {
    return gate.call(
        CallKind.WRITE,
        "write " + name,
        CALL_LIMIT,
        () -> delegate.write(name, value, expectedVersion));
  }

  @Override
  public CompletableFuture<Void> delete(String name, long expectedVersion) {
    return gate.call(
        CallKind.DELETE,
        "delete " + name,
        CALL_LIMIT,
        () -> delegate.delete(name, expectedVersion));
  }

  @Override
  public CompletableFuture<List<String>> list(String prefix) {
    return gate.call(CallKind.LIST, "list " + prefix, CALL_LIMIT, () -> delegate.list(prefix));
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> watch(
      String name, long afterVersion, Duration wait) {
    return gate.call(
        CallKind.WATCH,
        "watch " + name,
        wait.plus(WATCH_SLACK),
        () -> delegate.watch(name, afterVersion, wait));
  }
}
