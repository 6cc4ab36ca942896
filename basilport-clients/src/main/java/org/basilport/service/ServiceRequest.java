package org.basilport.service;

/**
 * A call of an application service.
 *
 * @param requestId id of this attempt, which the response repeats
 * @param requestKey idempotency key of a request that may not be repeated, otherwise empty
 * @param workspace workspace of the caller
 * @param path path relative to the service
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
