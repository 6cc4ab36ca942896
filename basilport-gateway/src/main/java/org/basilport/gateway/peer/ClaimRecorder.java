package org.basilport.gateway.peer;

import java.util.Map;
import org.basilport.gateway.forward.ForwardingState;

/**
 * Stores what processes that start later need to know. The watchers do so for all instances; an
 * instance that has started keeps what it read as long as streams of before may be taken up.
 * Confined to the event loop thread.
 */
final class ClaimRecorder {
  private final ForwardingState state;
  private final boolean firstStart;
  private final long startNanos = System.nanoTime();
  private FleetClaims recorded = FleetClaims.NONE;

  ClaimRecorder(ForwardingState state, boolean firstStart) {
    this.state = state;
    this.firstStart = firstStart;
  }

  /** Stores the present claims if they changed and this instance has to. */
  void record(boolean watching, ConfigurationSubscription subscription) {
    boolean former =
        !firstStart && System.nanoTime() - startNanos < state.streamVersions().retentionNanos();
    boolean holds = watching || former;
    if (!holds && recorded.servedVersions().isEmpty()) {
      return;
    }
    FleetClaims claims =
        new FleetClaims(
            state.storeCompleteness().completeIncarnation(),
            holds ? state.streamVersions().served() : Map.of());
    if (!claims.equals(recorded)) {
      recorded = claims;
      subscription.recordClaims(claims);
    }
  }
}
