package org.basilport.router;

import java.util.concurrent.atomic.AtomicLong;

/** Ids that no other request of any instance has; safe to use from any thread. */
final class RequestIds {
  private final String prefix;
  private final AtomicLong counter = new AtomicLong();

  RequestIds(InstanceSettings settings) {
    // The incarnation keeps ids apart from those that the instance gave before a restart.
    String incarnation = Long.toString(settings.incarnation(), Character.MAX_RADIX);
    this.prefix = settings.instanceId().replace('.', '_') + "-" + incarnation + "-";
  }

  String next() {
    return prefix + Long.toString(counter.incrementAndGet(), Character.MAX_RADIX);
  }
}
