package org.basilport.deferred;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Ids of jobs: shard, unique part, and a signature that binds the id to its workspace, so that no
 * lookup is needed to refuse another workspace.
 */
final class JobIds {
  static final int SHARDS = 16;

  /** Length of the time slots by which old results are removed. */
  static final Duration SLOT = Duration.ofHours(1);

  private static final int SIGNATURE_DIGITS = 32;

  private final byte[] key;

  JobIds(String clusterKey) {
    // The prefix separates this use of the cluster key from its other uses.
    this.key = ("job-id:" + clusterKey).getBytes(StandardCharsets.UTF_8);
  }

  /** Returns the id of a new job; its time lets old results be found by their names. */
  String create(String uniquePart, String workspace, Instant now) {
    int shard = Math.floorMod(uniquePart.hashCode(), SHARDS);
    String name = slotPrefix(shard, now.getEpochSecond() / SLOT.toSeconds()) + uniquePart;
    return name + "." + signature(name, workspace);
  }

  /** Returns the shard of an id, empty when the id is malformed or of another workspace. */
  OptionalInt shard(String id, String workspace) {
    return split(id)
        .filter(parts -> isSigned(parts, workspace))
        .map(parts -> parts[0].substring(0, parts[0].indexOf('.')))
        .map(shard -> OptionalInt.of(Integer.parseInt(shard)))
        .orElse(OptionalInt.empty());
  }

  /** The leading part of the ids of a shard's jobs of one time slot. */
  static String slotPrefix(int shard, long slot) {
    return shard + "." + slot + ".";
  }

  private boolean isSigned(String[] parts, String workspace) {
    byte[] expected = signature(parts[0], workspace).getBytes(StandardCharsets.UTF_8);
    return MessageDigest.isEqual(expected, parts[1].getBytes(StandardCharsets.UTF_8));
  }

  private static Optional<String[]> split(String id) {
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
