package org.basilport.daemon;

import org.apache.logging.log4j.core.config.Configurator;

/** Sets format and level of log output by the system properties that {@code log4j2.xml} reads. */
public final class LoggingConfiguration {
  private static final String FORMAT_PROPERTY = "basilport.log.format";
  private static final String LEVEL_PROPERTY = "basilport.log.level";

  private LoggingConfiguration() {}

  /** Applies a format ("pattern" or "json") and a level to the whole process. */
  public static void apply(String format, String level) {
    System.setProperty(FORMAT_PROPERTY, format);
    System.setProperty(LEVEL_PROPERTY, level);
    Configurator.reconfigure();
  }
}
