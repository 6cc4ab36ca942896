package org.basilport.cli;

import java.time.Instant;
import org.basilport.daemon.MergedTimeline;

/** Formats a merged timeline as lines of text. */
final class TimelineText {
  private TimelineText() {}

  static String format(MergedTimeline timeline) {
    StringBuilder text = new StringBuilder();
    for (MergedTimeline.Entry entry : timeline.entries()) {
      text.append(
          String.format(
              "%s %-12s [%d] %s%n",
              Instant.ofEpochMilli(entry.millis()),
              entry.instanceId(),
              entry.number(),
              entry.text()));
    }
    return text.toString();
  }
}
