package org.basilport.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's object store. Every call counts against its rate limits; a watch counts as one
 * call however long it waits.
 *
 * <p>Calls fail with {@code UnavailableException} if the platform does not respond. After such a
 * failure a write or delete may have taken effect.
 */
public interface ObjectStore {

  /** Version of an object that does not exist. */
  long ABSENT = 0;

  /** Maximum size of the value of an object, in bytes. */
  int MAX_VALUE_BYTES = 1_000_000;

  /** Reads an object. */
  CompletableFuture<Optional<StoredObject>> read(String name);

  /**
   * Writes an object if it has the expected version, and returns its new version. Fails with {@code
   * ConflictException} if the version differs.
   *
   * @param expectedVersion version to replace, or {@link #ABSENT} to create the object
   */
  CompletableFuture<Long> write(String name, byte[] value, long expectedVersion);

  /** Deletes an object if it has the expected version; fails like {@link #write}. */
  CompletableFuture<Void> delete(String name, long expectedVersion);

  /** Lists the names of all objects that start with a prefix, in ascending order. */
  CompletableFuture<List<String>> list(String prefix);

  /**
   * Waits until the object has a newer version; the result is empty if the wait ends first.
   *
   * @param afterVersion last version known to the caller, or {@link #ABSENT}
   * @param wait maximum time to wait
   */
  CompletableFuture<Optional<StoredObject>> watch(String name, long afterVersion, Duration wait);
}
