package org.basilport.gateway.message;

import com.google.common.hash.Hashing;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Optional;

/**
 * A complete request of a caller.
 *
 * @param id id of this attempt of the caller; never the same for two attempts
 * @param method HTTP method
 * @param target path and query as the caller sent them
 * @param host host without port, in lower case
 * @param headers headers that are forwarded; without those of one connection and of the system
 * @param body the whole body
 * @param callerTimeout how long the caller waits from now on
 * @param accessKey key of a workspace
 * @param generationSize size of the generation; empty for a plain call
 * @param lastEventId last event that the caller has from an earlier stream
 */
public record CallerRequest(
    String id,
    String method,
    String target,
    String host,
    HttpHeaders headers,
    byte[] body,
    Optional<Duration> callerTimeout,
    Optional<String> accessKey,
    Optional<GenerationSize> generationSize,
    Optional<String> lastEventId) {

  /** Hash of what the request asks for; a caller that sends it again sends the same content. */
  public long fingerprint() {
    return Hashing.murmur3_128()
        .newHasher()
        .putUnencodedChars(method)
        .putUnencodedChars(host)
        .putUnencodedChars(target)
        .putUnencodedChars(accessKey.orElse(""))
        .putBytes(body)
        .hash()
        .asLong();
  }

  /** The path without the query. */
  public String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }
}
