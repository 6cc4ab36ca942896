package org.basilport.gateway.message;

import java.time.Duration;
import java.util.Optional;

/**
 * Values that the gateway adds to a request for a backend server.
 *
 * @param remainingTime time after which the backend server may abandon the request
 * @param serverId id of the only backend server that may execute the request
 * @param workspace workspace of the caller
 * @param lastEventId id of the event after which the stream is resumed
 * @param kvCache KV cache from which the engine resumes the generation
 */
public record ForwardingDetails(
    Duration remainingTime,
    String serverId,
    Optional<String> workspace,
    Optional<String> lastEventId,
    Optional<KvCacheReference> kvCache) {}
