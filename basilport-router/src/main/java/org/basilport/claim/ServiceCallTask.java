package org.basilport.claim;

import java.time.Duration;

/**
 * A call of an application service to be run.
 *
 * @param requestId id of the request, unique across instances
 * @param workspace workspace of the caller
 * @param service name of the application service
 * @param timeout maximum duration of the call
 * @param path path below the service
 * @param requestKey key of a request that is not repeatable, otherwise empty
 * @param repeatable whether the call may run more than once
 * @param body request body
 * @param fingerprint hash of the request, used to recognise requests that crash servers
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
