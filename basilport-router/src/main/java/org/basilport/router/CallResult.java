package org.basilport.router;

/**
 * Response to a call of an application service.
 *
 * @param requestId id of the attempt that ran
 * @param status HTTP status of the service
 * @param body body of the response
 * @param duplicate whether an earlier attempt with the same key ran and this is its recorded result
 */
public record CallResult(String requestId, int status, String body, boolean duplicate) {}
