package org.basilport.claim;

/**
 * The answer of a plain service.
 *
 * @param attemptId id of the attempt that ran
 * @param status HTTP status
 * @param body body of the answer, empty for a duplicate
 * @param duplicate whether an earlier attempt ran and this is its recorded outcome
 */
public record ServiceCallAnswer(String attemptId, int status, String body, boolean duplicate) {}
