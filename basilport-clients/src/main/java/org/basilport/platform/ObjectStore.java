package org.basilport.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's object API. Every call counts against its rates; a waiting watch is one call.
 *
 * <p>Results fail with {@code UnavailableException} when the platform does not answer. After such a
 * failure a write or delete may or may not have taken effect.
 */
public interface ObjectStore {

  /** Expected version of an object that must not exist yet. */
  long ABSENT = 0;

  /** Largest value that an object can hold, in bytes. */
  int MAX_VALUE_BYTES = 1_000_000;

  /** Reads an object. */
  CompletableFuture<Optional<StoredObject>> read(String name);

  /**
   * Writes an object if it has the expected version, and returns its new version. Fails with {@code
   * ConflictException} when the version differs.
   *
   * @param expectedVersion the version that is replaced, or {@link #ABSENT}
   */
  CompletableFuture<Long> write(String name, byte[] value, long expectedVersion);

  /** Deletes an object if it has the expected version; fails like {@link #write}. */
  CompletableFuture<Void> delete(String name, long expectedVersion);

  /** Lists the names of all objects that start with a prefix, in order. */
  CompletableFuture<List<String>> list(String prefix);

  /**
   * Waits until the object is newer than a version. Empty when the wait ends first.
   *
   * @param afterVersion the version that the caller knows, or {@link #ABSENT}
   * @param wait the longest time to wait
   */
  CompletableFuture<Optional<StoredObject>> watch(String name, long afterVersion, Duration wait);
}
