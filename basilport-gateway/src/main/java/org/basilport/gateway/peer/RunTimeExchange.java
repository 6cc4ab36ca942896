package org.basilport.gateway.peer;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.basilport.policy.dispatch.InstanceAddress;
import org.basilport.policy.dispatch.LastRunTime;
import org.basilport.protocol.LoadReport;
import org.basilport.protocol.PeerDatagram;
import org.basilport.protocol.ProofRequest;

/**
 * Asks ready instances whether they run, by requests for proofs. Every ready instance replies to
 * them, since its own proof is young. Confined to the event loop thread.
 */
final class RunTimeExchange {
  private final String instanceId;
  private final PeerChannel channel;
  private final SplittableRandom random = new SplittableRandom();
  private final Map<String, Peer> peers = new HashMap<>();

  RunTimeExchange(String instanceId, PeerChannel channel) {
    this.instanceId = instanceId;
    this.channel = channel;
  }

  /** Records the sender of a report; returns whether it is a ready new incarnation. */
  boolean onReport(LoadReport report, InetSocketAddress sender) {
    Peer peer = peers.get(report.getInstanceId());
    boolean sameAddress = peer != null && peer.address.equals(sender);
    if (!sameAddress) {
      peer = new Peer(sender, new LastRunTime(random));
      peers.put(report.getInstanceId(), peer);
    }
    return peer.lastRun.onReport(report.getIncarnation()) && report.getReady();
  }

  /** Asks an instance if its last run time is old. */
  void ask(String id) {
    Peer peer = peers.get(id);
    peer.lastRun
        .nextQuestion(System.nanoTime())
        .ifPresent(
            question ->
                channel.send(
                    PeerDatagram.newBuilder()
                        .setSenderId(instanceId)
                        .setProofRequest(ProofRequest.newBuilder().setNonce(question))
                        .build(),
                    List.of(peer.address)));
  }

  /**
   * Records a reply, which must come from the address of the latest report: a new instance may use
   * the id of a former one.
   */
  void onReply(PeerDatagram message, InetSocketAddress sender) {
    Peer peer = peers.get(message.getSenderId());
    if (peer != null && peer.address.equals(sender)) {
      peer.lastRun.onReply(message.getProofReply().getNonce());
    }
  }

  /** Forgets an instance. */
  void remove(String id) {
    peers.remove(id);
  }

  /** The address for callers in the report of an instance, with its last run time. */
  InstanceAddress addressOf(LoadReport report) {
    Peer peer = peers.get(report.getInstanceId());
    return new InstanceAddress(
        report.getFrontendAddress(),
        report.getRegion(),
        report.getReady(),
        peer == null ? OptionalLong.empty() : peer.lastRun.nanos());
  }

  /** Address that sent the latest report, and its last run time. */
  private record Peer(InetSocketAddress address, LastRunTime lastRun) {}
}
