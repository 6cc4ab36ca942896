package org.basilport.service;

/**
 * The response of an application service.
 *
 * @param requestId id of the attempt that the response belongs to
 * @param status HTTP status
 * @param body body of the response, UTF-8 text
 */
public record ServiceResponse(String requestId, int status, String body) {}
