package org.basilport.cli.client;

/**
 * Answer of a plain service.
 *
 * @param requestId id of the attempt that ran
 * @param status HTTP status of the service
 * @param duplicate whether an earlier attempt with the same key ran
 * @param body body of the answer
 */
public record CallResponse(String requestId, int status, boolean duplicate, String body) {}
