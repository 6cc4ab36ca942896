package org.basilport.standin.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.basilport.platform.InstanceDirectory;
import org.basilport.platform.ListedInstance;
import org.basilport.platform.ObjectStore;
import org.basilport.platform.StoredObject;
import org.basilport.platform.WeightStore;

/** One client's access to a {@link MemoryPlatform}; each client can be partitioned separately. */
public final class PlatformClient implements ObjectStore, InstanceDirectory, WeightStore {
  private final MemoryPlatform platform;
  private final String clientId;

  PlatformClient(MemoryPlatform platform, String clientId) {
    this.platform = platform;
    this.clientId = clientId;
  }

  /** Id by which calls are counted and the client is partitioned. */
  public String clientId() {
    return clientId;
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> read(String name) {
    return platform.call(clientId, CallKind.READ, () -> platform.applyRead(name));
  }

  @Override
  public CompletableFuture<Long> write(String name, byte[] value, long expectedVersion) {
    byte[] copy = value.clone();
    return platform.call(
        clientId, CallKind.WRITE, () -> platform.applyWrite(name, copy, expectedVersion));
  }

  @Override
  public CompletableFuture<Void> delete(String name, long expectedVersion) {
    return platform.call(
        clientId, CallKind.WRITE, () -> platform.applyDelete(name, expectedVersion));
  }

  @Override
  public CompletableFuture<List<String>> list(String prefix) {
    return platform.call(clientId, CallKind.LIST, () -> platform.applyList(prefix));
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> watch(
      String name, long afterVersion, Duration wait) {
    return platform.watch(clientId, name, afterVersion, wait);
  }

  @Override
  public CompletableFuture<List<ListedInstance>> list() {
    return platform.call(clientId, CallKind.INSTANCES, platform::applyListInstances);
  }

  @Override
  public CompletableFuture<Void> reserveFetch(String model, String version) {
    return platform.call(
        clientId, CallKind.WEIGHTS, () -> platform.applyReserveFetch(model, version));
  }
}
