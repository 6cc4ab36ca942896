package org.basilport.gateway.peer;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.basilport.gateway.forward.ForwardingState;
import org.basilport.protocol.PeerDatagram;
import org.basilport.protocol.ProofReply;
import org.basilport.protocol.ProofRequest;

/**
 * Obtains proofs of freshness from instances that watch the store.
 *
 * <p>The age in a reply was true after the request was sent, so the proof dates from the sending of
 * the request less that age, however long the reply took. Confined to the traffic thread.
 */
final class FreshnessExchange {
  /** Interval of requests, that of the reports; several fit into the time that a proof counts. */
  private static final long REQUEST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /**
   * Age of the own proof above which the store is read directly. The proof of a watcher is between
   * one and two waits of its watch old (1.2 to 2.4 s), and an instance stops being ready at 3 s.
   */
  private static final long DIRECT_READ_AGE_MILLIS = 2_700;

  /**
   * Shortest interval of direct reads, so that a fleet without watchers does not flood the store.
   */
  private static final long DIRECT_READ_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Requests without a reply that are remembered. */
  private static final int MAX_PENDING_REQUESTS = 16;

  private final String instanceId;
  private final PeerChannel channel;
  private final ForwardingState state;
  private final Map<Long, SendTime> pending = new HashMap<>();
  private ConfigurationSource source;
  private long nextNonce = System.nanoTime();
  private long lastRequestNanos = System.nanoTime() - REQUEST_INTERVAL_NANOS;
  private long lastReadNanos = System.nanoTime() - DIRECT_READ_INTERVAL_NANOS;

  FreshnessExchange(String instanceId, PeerChannel channel, ForwardingState state) {
    this.instanceId = instanceId;
    this.channel = channel;
    this.state = state;
  }

  void setSource(ConfigurationSource configurationSource) {
    source = configurationSource;
  }

  /** Asks watching instances, and reads the store itself when the proof becomes old. */
  void requestProof(List<InetSocketAddress> watchers) {
    long now = System.nanoTime();
    if (now - lastRequestNanos >= REQUEST_INTERVAL_NANOS) {
      lastRequestNanos = now;
      sendRequest(watchers);
    }
    if (state.proofAgeMillis() > DIRECT_READ_AGE_MILLIS) {
      readStore();
    }
  }

  /** Reads the store, at most once in an interval. */
  void readStore() {
    long now = System.nanoTime();
    if (source != null && now - lastReadNanos >= DIRECT_READ_INTERVAL_NANOS) {
      lastReadNanos = now;
      source.refresh();
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

  /** ResponseHandler a request if the own configuration is known to be current. */
  void onRequest(ProofRequest request, InetSocketAddress sender) {
    long age = state.proofAgeMillis();
    long version = state.configurationVersion();
    if (age > DIRECT_READ_AGE_MILLIS || version == 0) {
      return;
    }
    channel.send(
        PeerDatagram.newBuilder()
            .setSenderId(instanceId)
            .setProofReply(
                ProofReply.newBuilder()
                    .setNonce(request.getNonce())
                    .setConfigurationVersion(version)
                    .setAgeMillis(age))
            .build(),
        List.of(sender));
  }

  /** Takes a proof; one of a newer configuration leads to a read of the store instead. */
  void onReply(ProofReply reply) {
    SendTime sent = pending.get(reply.getNonce());
    if (sent == null || reply.getAgeMillis() < 0) {
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

  /** Both clocks when a request was sent. */
  private record SendTime(long nanos, long wallMillis) {}
}
