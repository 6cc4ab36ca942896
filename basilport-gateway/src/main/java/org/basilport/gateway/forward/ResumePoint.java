package org.basilport.gateway.forward;

import java.util.Optional;
import org.basilport.gateway.message.KvCacheReference;

/**
 * Point at which a server starts or resumes a request.
 *
 * @param lastEventId id of the event after which the stream is resumed
 * @param kvCache KV cache from which the engine resumes the generation
 */
record ResumePoint(Optional<String> lastEventId, Optional<KvCacheReference> kvCache) {
  /** The beginning of the request. */
  static final ResumePoint BEGINNING = new ResumePoint(Optional.empty(), Optional.empty());

  /** The point as events name it: the beginning, an event, or an event and a copy. */
  @Override
  public String toString() {
    String start = lastEventId.map(id -> "event_" + id).orElse("beginning");
    return kvCache.map(copy -> start + "_copy_at_" + copy.address()).orElse(start);
  }
}
