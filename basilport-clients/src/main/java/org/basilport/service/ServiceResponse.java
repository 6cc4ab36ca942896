package org.basilport.service;

/**
 * The answer of a plain service.
 *
 * @param requestId id of the attempt that is answered
 * @param status HTTP status
 * @param body body of the answer, UTF-8 text
 */
public record ServiceResponse(String requestId, int status, String body) {}
