package org.basilport.config;

import java.util.Optional;

/** The configuration in force at this instance; safe to read from any thread. */
@FunctionalInterface
public interface ConfigurationView {

  /** Returns the configuration in force, empty before the first one was learned. */
  Optional<AcceptedConfiguration> current();
}
