package org.basilport.gateway.peer;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.basilport.gateway.forward.ForwardingState;
import org.basilport.policy.dispatch.DirectReadBackoff;
import org.basilport.policy.dispatch.HeartbeatSchedule;
import org.basilport.protocol.PeerDatagram;
import org.basilport.protocol.ProofReply;
import org.basilport.protocol.ProofRequest;

/**
 * Obtains proofs that the configuration and the evacuated data centres are the latest from
 * instances that watch the store.
 *
 * <p>The age in a reply was determined after the request was sent. The send time less that age is
 * therefore a lower bound of the proof's time, regardless of the delay of the reply. Confined to
 * the event loop thread.
 */
final class FreshnessExchange {
  /** Interval of requests; several fit into the validity of a proof. */
  private static final long REQUEST_INTERVAL_NANOS = HeartbeatSchedule.INTERVAL_NANOS;

  /**
   * Minimum interval of direct reads, so that a fleet without watchers does not overload the store.
   */
  private static final long DIRECT_READ_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Age in a reply that does not prove the configuration; each release ignores it. */
  private static final long NOT_PROVEN = -1;

  /** Number of remembered requests above which all are discarded. */
  private static final int MAX_PENDING_REQUESTS = 16;

  private final String instanceId;
  private final PeerChannel channel;
  private final ForwardingState state;
  private final EvacuationProofs evacuations;
  private final Map<Long, SendTime> pending = new HashMap<>();
  private ConfigurationSubscription configurationSubscription;
  private long nextNonce = System.nanoTime();
  private long lastRequestNanos = System.nanoTime() - REQUEST_INTERVAL_NANOS;
  private long lastReadNanos = System.nanoTime() - DIRECT_READ_INTERVAL_NANOS;

  FreshnessExchange(String instanceId, PeerChannel channel, ForwardingState state) {
    this.instanceId = instanceId;
    this.channel = channel;
    this.state = state;
    this.evacuations = new EvacuationProofs(state.evacuations());
  }

  void setConfigurationSubscription(ConfigurationSubscription subscription) {
    configurationSubscription = subscription;
  }

  /**
   * Requests proofs from the watching instances, and reads the store directly when the own proof
   * becomes too old.
   */
  void requestProof(List<InetSocketAddress> watchers) {
    long now = System.nanoTime();
    if (now - lastRequestNanos >= REQUEST_INTERVAL_NANOS) {
      lastRequestNanos = now;
      sendRequest(watchers);
    }
    if (state.proofAgeMillis() > DirectReadBackoff.MAX_PROOF_AGE_MILLIS) {
      readStore();
    }
    if (configurationSubscription != null) {
      evacuations.readIfOutdated(configurationSubscription);
    }
  }

  /** Reads the store at most once per interval. */
  void readStore() {
    long now = System.nanoTime();
    if (configurationSubscription != null && now - lastReadNanos >= DIRECT_READ_INTERVAL_NANOS) {
      lastReadNanos = now;
      configurationSubscription.refresh();
    }
  }

  private void sendRequest(List<InetSocketAddress> watchers) {
    if (pending.size() > MAX_PENDING_REQUESTS) {
      pending.clear();
    }
    long nonce = nextNonce++;
    pending.put(nonce, new SendTime(System.nanoTime(), System.currentTimeMillis()));
    channel.send(
        PeerDatagram.newBuilder()
            .setSenderId(instanceId)
            .setProofRequest(ProofRequest.newBuilder().setNonce(nonce))
            .build(),
        watchers);
  }

  /** Replies to a request with what is known to be the latest. */
  void onRequest(ProofRequest request, InetSocketAddress sender) {
    long age = state.proofAgeMillis();
    long version = state.configurationVersion();
    boolean proven = age <= DirectReadBackoff.MAX_PROOF_AGE_MILLIS && version != 0;
    ProofReply.Builder reply =
        ProofReply.newBuilder()
            .setNonce(request.getNonce())
            .setConfigurationVersion(proven ? version : 0)
            .setAgeMillis(proven ? age : NOT_PROVEN);
    if (!evacuations.write(reply) && !proven) {
      return;
    }
    channel.send(
        PeerDatagram.newBuilder().setSenderId(instanceId).setProofReply(reply).build(),
        List.of(sender));
  }

  /** Records a proof; a proof of a newer configuration triggers a read of the store instead. */
  void onReply(ProofReply reply) {
    SendTime sent = pending.get(reply.getNonce());
    if (sent == null) {
      return;
    }
    evacuations.read(reply, sent.nanos, sent.wallMillis);
    if (reply.getAgeMillis() < 0) {
      return;
    }
    if (reply.getConfigurationVersion() > state.configurationVersion()) {
      readStore();
    } else {
      state
          .freshnessProof()
          .record(
              sent.nanos - TimeUnit.MILLISECONDS.toNanos(reply.getAgeMillis()),
              sent.wallMillis - reply.getAgeMillis());
    }
  }

  /** Monotonic and wall-clock time at which a request was sent. */
  private record SendTime(long nanos, long wallMillis) {}
}
