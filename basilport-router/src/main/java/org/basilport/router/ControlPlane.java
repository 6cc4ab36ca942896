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

/** Configuration, membership and views of backend servers of one instance. */
public interface ControlPlane extends Service {

  /** The configuration in force. */
  ConfigurationView configuration();

  /** Acceptance and history of configurations. */
  ConfigurationStore configurations();

  /** Checks and accepts a configuration, puts it in force here and pushes it to peers. */
  CompletableFuture<AcceptedConfiguration> apply(ConfigurationChange change);

  /** Whether a peer or the platform confirmed the configuration in force within a time. */
  boolean configurationConfirmed(Duration within);

  /**
   * Whether new requests may be taken: false while the configuration is checked again after the
   * process was paused.
   */
  boolean acceptsRequests();

  /** Members. */
  MembershipView membership();

  /** Answers of callers' questions which instance to use. */
  Locator locator();

  /** Backend servers. */
  BackendView backends();

  /** Connections to other instances. */
  PeerConnector peers();

  /** Adds a component whose state travels with gossip; call before the start. */
  void addParticipant(GossipParticipant participant);

  /** Sends gossip soon instead of at the next round. */
  void triggerGossip();

  /** Sets what this instance reports of its own load. */
  void reportActiveStreams(int activeStreams);

  /** Marks this instance as leaving and tells peers at once. */
  void leave();

  /**
   * What this instance answers to other instances.
   *
   * @param isolation grants slots for suspect requests
   * @param onDrain runs when another instance or an operator asks for a drain, with the reason
   */
  PeerClient peerEndpoint(IsolationHandler isolation, Consumer<String> onDrain);
}
