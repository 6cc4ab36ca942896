package org.basilport.policy.dispatch;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Selects a cold server only if no warm one has capacity; decides like the wrapped selector while
 * no server is cold.
 *
 * <p>The load it answers: all servers of a data centre turn cold at once, and bear 26 requests a
 * second instead of several times as many.
 */
public final class WarmFirstSelector implements ServerSelector {
  private final ServerSelector selector;
  private final Predicate<ServerLoad> cold;

  /** Creates a selector that chooses within the warm servers, then within the cold ones. */
  public WarmFirstSelector(ServerSelector selector, Predicate<ServerLoad> cold) {
    this.selector = selector;
    this.cold = cold;
  }

  @Override
  public Optional<ServerLoad> select(
      Collection<ServerLoad> candidates, RequestDemand demand, long nowNanos) {
    List<ServerLoad> coldServers = candidates.stream().filter(cold).toList();
    if (coldServers.isEmpty()) {
      return selector.select(candidates, demand, nowNanos);
    }
    List<ServerLoad> warmServers = candidates.stream().filter(cold.negate()).toList();
    return selector
        .select(warmServers, demand, nowNanos)
        .or(() -> selector.select(coldServers, demand, nowNanos));
  }
}
