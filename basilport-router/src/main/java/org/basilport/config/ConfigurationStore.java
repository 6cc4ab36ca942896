package org.basilport.config;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Store that accepts configurations and keeps their history. */
public interface ConfigurationStore {

  /**
   * Accepts a configuration if the current number is the expected one. Fails with {@code
   * InvalidConfigurationException} if the configuration is invalid, with {@code ConflictException}
   * if another change was accepted first or the apply id was used for a different configuration,
   * and with {@code UnavailableException} if the platform does not respond. In the last case the
   * change may have been accepted and can be retried with the same apply id.
   */
  CompletableFuture<AcceptedConfiguration> accept(ConfigurationChange change);

  /** Reads the latest accepted configuration. */
  CompletableFuture<Optional<AcceptedConfiguration>> latest();

  /** Lists the latest accepted changes, newest first. */
  CompletableFuture<List<HistoryEntry>> history();
}
