package org.basilport.order;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Content of the object of a leader lease.
 *
 * @param holder id of the instance that holds the lease, empty after a release
 * @param incarnation incarnation of the holder
 * @param renewal number of the holder's write, which identifies it after a lost response
 * @param expiresAtMillis wall clock expiry, for operators only; not used to detect expiry
 */
public record LeaseRecord(String holder, long incarnation, long renewal, long expiresAtMillis) {
  private static final String SEPARATOR = " ";
  private static final int FIELDS = 4;

  boolean isReleased() {
    return holder.isEmpty();
  }

  boolean heldBy(String id, long idIncarnation) {
    return holder.equals(id) && incarnation == idIncarnation;
  }

  byte[] encode() {
    return String.join(
            SEPARATOR,
            holder,
            Long.toString(incarnation),
            Long.toString(renewal),
            Long.toString(expiresAtMillis))
        .getBytes(StandardCharsets.UTF_8);
  }

  /** Decodes a record, empty if the value is not a valid record. */
  static Optional<LeaseRecord> decode(byte[] value) {
    String[] fields = new String(value, StandardCharsets.UTF_8).split(SEPARATOR, -1);
    if (fields.length != FIELDS) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new LeaseRecord(
              fields[0],
              Long.parseLong(fields[1]),
              Long.parseLong(fields[2]),
              Long.parseLong(fields[3])));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }
}
