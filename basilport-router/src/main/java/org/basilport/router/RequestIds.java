package org.basilport.router;

import java.util.concurrent.atomic.AtomicLong;

/** Generates request ids that are unique across instances; safe to use from any thread. */
final class RequestIds {
  private final String prefix;
  private final AtomicLong counter = new AtomicLong();

  RequestIds(InstanceSettings settings) {
    // The incarnation separates these ids from those assigned before a restart.
    String incarnation = Long.toString(settings.incarnation(), Character.MAX_RADIX);
    this.prefix = settings.instanceId().replace('.', '_') + "-" + incarnation + "-";
  }

  String next() {
    return prefix + Long.toString(counter.incrementAndGet(), Character.MAX_RADIX);
  }
}
