package org.basilport.config;

import java.util.List;
import java.util.Optional;

/**
 * Content of the object {@code config/head}, whose conditional update accepts a configuration.
 *
 * @param number number of the current configuration
 * @param previousNumber number of the configuration that it replaced, 0 for none
 * @param parts hashes of the parts of the configuration, in order
 * @param recent latest accepted changes, newest first; the first one is current
 */
record ConfigurationHead(
    long number, long previousNumber, List<String> parts, List<AcceptedChange> recent) {

  /** Finds a recent change by its apply id. */
  Optional<AcceptedChange> findRecent(String applyId) {
    return recent.stream().filter(change -> change.applyId().equals(applyId)).findFirst();
  }

  /** Returns the change that led to the current configuration. */
  AcceptedChange current() {
    return recent.get(0);
  }

  /**
   * Accepted change.
   *
   * @param number number of the resulting configuration
   * @param applyId id of the change
   * @param author operator who applied the change
   * @param acceptedAtMillis time of acceptance, in milliseconds since the epoch
   * @param bodySha256 hash of the configuration, which distinguishes a retry from a reused apply id
   */
  record AcceptedChange(
      long number, String applyId, String author, long acceptedAtMillis, String bodySha256) {}
}
