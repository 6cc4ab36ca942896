package org.basilport.claim;

import java.time.Duration;

/**
 * A call of a plain service.
 *
 * @param requestId id of the request, unique over all instances
 * @param workspace workspace of the caller
 * @param service application service
 * @param timeout longest time that the call may take
 * @param path path below the service
 * @param requestKey key of a request that may not be repeated, else empty
 * @param repeatable whether the call may run more than once
 * @param body body of the call
 * @param fingerprint hash by which a request that crashes backend servers is recognised
 */
public record ServiceCallTask(
    String requestId,
    String workspace,
    String service,
    Duration timeout,
    String path,
    String requestKey,
    boolean repeatable,
    String body,
    String fingerprint) {}
