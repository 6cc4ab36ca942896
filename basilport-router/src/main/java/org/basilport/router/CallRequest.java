package org.basilport.router;

/**
 * Call of an application service.
 *
 * @param route route of the call
 * @param path path below the service
 * @param requestKey idempotency key of a call that must not run twice, empty for a repeatable call
 * @param repeatable whether the call may run more than once
 * @param body body of the call
 */
public record CallRequest(
    String route, String path, String requestKey, boolean repeatable, String body) {}
