package org.basilport.gateway.forward;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.Set;
import org.basilport.error.Step;
import org.basilport.gateway.message.ServerResponse;

/**
 * Answers of servers with a status that callers take for "not executed", although the server has
 * not said so. They are not passed on for a request that must run once, since its caller would
 * repeat it.
 */
final class UnprovenRefusal {
  private static final Set<Integer> REFUSALS = Set.of(408, 429, 503);

  private UnprovenRefusal() {}

  /**
   * Fails the request if the response is such an answer.
   *
   * @return whether the request has failed
   */
  static boolean fail(Exchange exchange, ServerResponse response, Step step) {
    if (exchange.route.repeatability().repeatable() || !REFUSALS.contains(response.status())) {
      return false;
    }
    String reason =
        exchange.serverId() + " answered " + response.status() + " and may have executed it";
    exchange.sendLocalReply(502, new DefaultHttpHeaders(), step, reason);
    return true;
  }
}
