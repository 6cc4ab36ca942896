package org.basilport.gateway.message;

import com.google.common.hash.Hashing;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.basilport.policy.dispatch.RequestContent;

/**
 * Complete request of a caller.
 *
 * @param id id of this attempt; unique for each attempt of the caller
 * @param method HTTP method
 * @param target path and query as received
 * @param host host without port, in lower case
 * @param headers headers to be forwarded, without hop-by-hop headers and headers that only the
 *     gateway sets
 * @param body complete body
 * @param callerTimeout remaining time for which the caller waits for the response
 * @param accessKey access key of a workspace
 * @param generationSize size of the generation; empty for a request to a service without engines
 * @param sharedPromptParts ids of the parts of the prompt that other requests may share, in order;
 *     without the last part, which belongs to this request or its session
 * @param lastEventId id of the last event that the caller received from an earlier stream
 * @param resumedRequestId id of the attempt that brought the first event of the earlier stream, as
 *     the caller names it
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
    List<String> sharedPromptParts,
    Optional<String> lastEventId,
    Optional<String> resumedRequestId) {

  /** Content by which crashes of servers are attributed to requests and prompt parts. */
  public RequestContent content() {
    List<Long> partHashes = sharedPromptParts.stream().map(CallerRequest::hash).toList();
    return new RequestContent(fingerprint(), partHashes);
  }

  private static long hash(String promptPart) {
    return Hashing.murmur3_128().hashUnencodedChars(promptPart).asLong();
  }

  /** Hash of the content of the request, which is the same for all attempts of a caller. */
  private long fingerprint() {
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

  /** Path without the query. */
  public String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }
}
