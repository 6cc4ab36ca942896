package org.basilport.policy.dispatch;

/**
 * A request that was at a server when the server crashed.
 *
 * @param content content of the request
 * @param answering whether the server had begun its response to the request
 * @param serverId id of the server
 * @param incarnation incarnation of the server
 */
public record CrashEvidence(
    RequestContent content, boolean answering, String serverId, long incarnation) {}
