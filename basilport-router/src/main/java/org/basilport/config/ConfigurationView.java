package org.basilport.config;

import java.util.Optional;

/** Current configuration of this instance; safe to read from any thread. */
@FunctionalInterface
public interface ConfigurationView {

  /** Returns the current configuration, empty before the first one is known. */
  Optional<AcceptedConfiguration> current();
}
