package org.basilport.cli.client;

/**
 * Response of an application service.
 *
 * @param requestId id of the attempt that was executed
 * @param status HTTP status of the service
 * @param duplicate whether the response is that of an earlier attempt with the same key
 * @param body body of the response
 */
public record CallResponse(String requestId, int status, boolean duplicate, String body) {}
