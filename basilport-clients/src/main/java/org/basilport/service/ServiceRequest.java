package org.basilport.service;

/**
 * A call of a plain service.
 *
 * @param requestId id of this attempt, which the answer repeats
 * @param requestKey key of a request that may not be repeated, else empty
 * @param workspace workspace of the caller
 * @param path path below the service
 * @param repeatable whether the call may run more than once
 * @param body body of the call, UTF-8 text
 */
public record ServiceRequest(
    String requestId,
    String requestKey,
    String workspace,
    String path,
    boolean repeatable,
    String body) {}
