package org.basilport.delivery;

/**
 * Where a caller goes on reading a generation.
 *
 * @param workspace workspace that owns the generation
 * @param service model service that runs it
 * @param serverId backend server that holds it
 * @param incarnation incarnation of the backend server
 * @param generationId id of the attempt
 * @param nextOffset number of the first token that the caller does not have
 * @param fingerprint hash of the request, by which its crashes are recognised
 * @param expiresAtSeconds end of the token's validity, in seconds since the epoch
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
