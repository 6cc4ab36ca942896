package org.basilport.router;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.basilport.backend.BackendView;
import org.basilport.config.AcceptedConfiguration;
import org.basilport.config.ConfigurationChange;
import org.basilport.config.ConfigurationStore;
import org.basilport.config.ConfigurationView;
import org.basilport.membership.Locator;
import org.basilport.membership.MembershipView;
import org.basilport.misc.Service;
import org.basilport.peer.GossipParticipant;
import org.basilport.peer.PeerClient;
import org.basilport.peer.PeerConnector;
import org.basilport.quarantine.IsolationHandler;

/** Configuration, membership and backend server views of one instance. */
public interface ControlPlane extends Service {

  /** Returns a view of the current configuration. */
  ConfigurationView configuration();

  /** Returns the store that accepts configurations and keeps their history. */
  ConfigurationStore configurations();

  /** Validates and accepts a configuration, applies it to this instance and pushes it to peers. */
  CompletableFuture<AcceptedConfiguration> apply(ConfigurationChange change);

  /**
   * Returns whether a peer or the platform confirmed the current configuration.
   *
   * @param within largest age of the confirmation
   */
  boolean configurationConfirmed(Duration within);

  /**
   * Returns whether new requests may be accepted. Returns false while the configuration is
   * rechecked after a pause of the process.
   */
  boolean acceptsRequests();

  /** Returns a view of the members. */
  MembershipView membership();

  /** Returns the locator that selects instances for callers. */
  Locator locator();

  /** Returns a view of the backend servers. */
  BackendView backends();

  /** Returns the connector to other instances. */
  PeerConnector peers();

  /** Adds a component that spreads its state by gossip; must be called before {@link #start}. */
  void addParticipant(GossipParticipant participant);

  /** Starts a gossip exchange without waiting for the next round. */
  void triggerGossip();

  /** Sets the number of active streams that this instance reports to its peers. */
  void reportActiveStreams(int activeStreams);

  /** Marks this instance as leaving and notifies peers at once. */
  void leave();

  /**
   * Creates the endpoint that handles calls from other instances.
   *
   * @param isolation grants slots for suspect requests
   * @param onDrain receives the reason when a peer or an operator requests a drain
   */
  PeerClient peerEndpoint(IsolationHandler isolation, Consumer<String> onDrain);
}
