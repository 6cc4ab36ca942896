package org.basilport.config;

import java.util.List;
import java.util.Optional;

/**
 * Content of the object {@code config/head}, whose conditional update accepts a configuration.
 *
 * @param number number of the configuration in force
 * @param previousNumber number of the configuration that it replaced, 0 for none
 * @param parts hashes of the parts that hold the configuration, in order
 * @param recent latest accepted changes, newest first; the first one is in force
 */
record ConfigurationHead(
    long number, long previousNumber, List<String> parts, List<AcceptedChange> recent) {

  /** Finds a recent change by its apply id. */
  Optional<AcceptedChange> accepted(String applyId) {
    return recent.stream().filter(change -> change.applyId().equals(applyId)).findFirst();
  }

  /** The change that is in force. */
  AcceptedChange current() {
    return recent.get(0);
  }

  /**
   * An accepted change.
   *
   * @param number number of the acceptance
   * @param applyId id of the change
   * @param author who applied it
   * @param acceptedAtMillis when it was accepted, in milliseconds since the epoch
   * @param bodySha256 hash of the configuration, which tells a repeated apply from a reused id
   */
  record AcceptedChange(
      long number, String applyId, String author, long acceptedAtMillis, String bodySha256) {}
}
