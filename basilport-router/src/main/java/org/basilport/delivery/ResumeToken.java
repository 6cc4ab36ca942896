package org.basilport.delivery;

/**
 * Position from which a caller resumes reading a generation.
 *
 * @param workspace workspace that owns the generation
 * @param service model service that runs it
 * @param serverId id of the backend server that runs it
 * @param incarnation incarnation of the backend server
 * @param generationId id of the attempt
 * @param nextOffset index of the first token that the caller does not have
 * @param fingerprint hash of the request, used to recognise requests that crash servers
 * @param expiresAtSeconds expiry time, in seconds since the epoch
 */
public record ResumeToken(
    String workspace,
    String service,
    String serverId,
    long incarnation,
    String generationId,
    long nextOffset,
    String fingerprint,
    long expiresAtSeconds) {}
