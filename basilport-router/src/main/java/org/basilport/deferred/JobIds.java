package org.basilport.deferred;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Creates and verifies job ids: shard, time slot, unique part, and a signature that binds the id to
 * its workspace, so that ids of other workspaces are rejected without a lookup.
 */
final class JobIds {
  static final int SHARDS = 16;

  /** Length of the time slots by which expired results are removed. */
  static final Duration SLOT_LENGTH = Duration.ofHours(1);

  private static final int SIGNATURE_DIGITS = 32;

  private final byte[] key;

  JobIds(String clusterKey) {
    // Domain separation from the other uses of the cluster key.
    this.key = ("job-id:" + clusterKey).getBytes(StandardCharsets.UTF_8);
  }

  /** Returns the id of a new job; it contains the time slot by which its result expires. */
  String create(String uniquePart, String workspace, Instant now) {
    int shard = Math.floorMod(uniquePart.hashCode(), SHARDS);
    String name = slotPrefix(shard, now.getEpochSecond() / SLOT_LENGTH.toSeconds()) + uniquePart;
    return name + "." + signature(name, workspace);
  }

  /** Returns the shard of an id, empty if the id is malformed or of another workspace. */
  OptionalInt shard(String id, String workspace) {
    return splitSignature(id)
        .filter(parts -> isSigned(parts, workspace))
        .map(parts -> parts[0].substring(0, parts[0].indexOf('.')))
        .map(shard -> OptionalInt.of(Integer.parseInt(shard)))
        .orElse(OptionalInt.empty());
  }

  /** Returns the common prefix of the ids of a shard's jobs of one time slot. */
  static String slotPrefix(int shard, long slot) {
    return shard + "." + slot + ".";
  }

  private boolean isSigned(String[] parts, String workspace) {
    byte[] expected = signature(parts[0], workspace).getBytes(StandardCharsets.UTF_8);
    return MessageDigest.isEqual(expected, parts[1].getBytes(StandardCharsets.UTF_8));
  }

  private static Optional<String[]> splitSignature(String id) {
    int end = id.lastIndexOf('.');
    if (end <= 0 || id.indexOf('.') == end) {
      return Optional.empty();
    }
    return Optional.of(new String[] {id.substring(0, end), id.substring(end + 1)});
  }

  private String signature(String name, String workspace) {
    return Hashing.hmacSha256(key)
        .hashString(name + "\n" + workspace, StandardCharsets.UTF_8)
        .toString()
        .substring(0, SIGNATURE_DIGITS);
  }
}
