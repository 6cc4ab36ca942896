package org.basilport.gateway.message;

import java.time.Duration;
import java.util.Optional;

/**
 * What the system adds to a request for a backend server.
 *
 * @param remainingTime time after which the backend server may stop work
 * @param serverId the only backend server that may run the request
 * @param workspace workspace of the caller
 * @param lastEventId event after which a stream goes on
 * @param kvCache memory of the same generation that the engine goes on from
 */
public record ForwardingDetails(
    Duration remainingTime,
    String serverId,
    Optional<String> workspace,
    Optional<String> lastEventId,
    Optional<KvCacheReference> kvCache) {}
