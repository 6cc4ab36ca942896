package org.basilport.daemon;

import org.apache.logging.log4j.core.config.Configurator;

/** Selects format and level of log lines; {@code log4j2.xml} reads the two properties. */
public final class LogSettings {
  private static final String FORMAT = "basilport.log.format";
  private static final String LEVEL = "basilport.log.level";

  private LogSettings() {}

  /** Applies a format ("pattern" or "json") and a level to the whole process. */
  public static void apply(String format, String level) {
    System.setProperty(FORMAT, format);
    System.setProperty(LEVEL, level);
    Configurator.reconfigure();
  }
}
