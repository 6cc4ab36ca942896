package org.basilport.config;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.basilport.error.BasilportException;
import org.basilport.error.ConflictException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.error.UnavailableException;
import org.basilport.platform.ObjectStore;
import org.basilport.platform.StoredObject;

/** Stores configurations as immutable, content-addressed parts below the platform's size limit. */
final class ConfigurationParts {
  private static final String PREFIX = "config/part/";
  private static final int MAX_PART_BYTES = 900_000;

  private final ObjectStore store;

  ConfigurationParts(ObjectStore store) {
    this.store = store;
  }

  /** Writes the parts that do not exist yet and returns their hashes in order. */
  CompletableFuture<List<String>> write(byte[] body) {
    List<String> hashes = new ArrayList<>();
    List<CompletableFuture<Void>> writes = new ArrayList<>();
    for (int from = 0; from < body.length; from += MAX_PART_BYTES) {
      byte[] part = Arrays.copyOfRange(body, from, Math.min(body.length, from + MAX_PART_BYTES));
      String hash = sha256(part);
      hashes.add(hash);
      writes.add(writePart(hash, part));
    }
    return CompletableFuture.allOf(writes.toArray(CompletableFuture[]::new))
        .thenApply(done -> List.copyOf(hashes));
  }

  /**
   * Reads and concatenates parts; fails with {@code UnavailableException} if one is missing or
   * corrupt.
   */
  CompletableFuture<byte[]> read(List<String> hashes) {
    List<CompletableFuture<Optional<StoredObject>>> reads =
        hashes.stream().map(hash -> store.read(PREFIX + hash)).toList();
    return CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
        .thenApply(
            done -> {
              ByteArrayOutputStream body = new ByteArrayOutputStream();
              for (int i = 0; i < hashes.size(); i++) {
                body.writeBytes(verifiedPart(hashes.get(i), reads.get(i).join()));
              }
              return body.toByteArray();
            });
  }

  static String sha256(byte[] value) {
    HashCode hash = Hashing.sha256().hashBytes(value);
    return hash.toString();
  }

  private CompletableFuture<Void> writePart(String hash, byte[] part) {
    return store
        .write(PREFIX + hash, part, ObjectStore.ABSENT)
        .handle(
            (version, failure) -> {
              if (failure == null) {
                return null;
              }
              BasilportException cause =
                  BasilportException.unwrap(failure, Outcome.NOT_RUN, Step.STORE);
              // The name is the hash of the content, so an existing part has the same content.
              if (cause instanceof ConflictException) {
                return null;
              }
              throw cause;
            });
  }

  private static byte[] verifiedPart(String hash, Optional<StoredObject> part) {
    byte[] value = part.map(StoredObject::value).orElse(new byte[0]);
    if (!sha256(value).equals(hash)) {
      throw new UnavailableException(
          FailureCode.PLATFORM_UNAVAILABLE,
          Outcome.NOT_RUN,
          Step.STORE,
          "platform",
          null,
          "configuration part " + hash + " is missing or does not match its hash",
          null);
    }
    return value;
  }
}
