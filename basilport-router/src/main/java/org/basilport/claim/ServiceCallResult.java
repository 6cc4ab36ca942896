package org.basilport.claim;

/**
 * The response of an application service.
 *
 * @param attemptId id of the attempt that ran
 * @param status HTTP status
 * @param body response body, empty for a duplicate
 * @param duplicate whether this is the recorded outcome of an earlier attempt with the same key
 */
public record ServiceCallResult(String attemptId, int status, String body, boolean duplicate) {}
