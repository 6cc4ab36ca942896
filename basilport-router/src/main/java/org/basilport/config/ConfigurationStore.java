package org.basilport.config;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Acceptance of configurations in the platform's object API. */
public interface ConfigurationStore {

  /**
   * Accepts a configuration if the number in force is the expected one. Fails with {@code
   * ConflictException} when another operator was first, and with {@code UnavailableException} when
   * the platform does not answer; then the change may have been accepted, and the same apply id may
   * be sent again.
   */
  CompletableFuture<AcceptedConfiguration> accept(ConfigurationChange change);

  /** Reads the latest accepted configuration. */
  CompletableFuture<Optional<AcceptedConfiguration>> latest();

  /** Lists the latest accepted changes, newest first. */
  CompletableFuture<List<HistoryEntry>> history();
}
