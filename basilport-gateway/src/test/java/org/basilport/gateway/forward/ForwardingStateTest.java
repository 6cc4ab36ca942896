package org.basilport.gateway.forward;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.basilport.event.EventSink;
import org.basilport.gateway.TestCodec;
import org.basilport.gateway.backend.BackendServer;
import org.basilport.gateway.backend.ServerEntry;
import org.basilport.gateway.backend.ServerTable;
import org.basilport.gateway.config.EngineCapacity;
import org.basilport.gateway.config.ForwardingConfiguration;
import org.basilport.gateway.config.ForwardingService;
import org.basilport.gateway.config.FrontendLimits;
import org.basilport.gateway.forward.ForwardingState.RetryLimits;
import org.basilport.policy.dispatch.OutstandingWork;
import org.basilport.policy.dispatch.PendingRequestQueue;
import org.basilport.policy.dispatch.RequestDemand;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests requests that are queued because other instances occupy the servers. */
class ForwardingStateTest {
  private static final OutstandingWork FULL = new OutstandingWork(24, 0, 34_000);

  private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
  private ForwardingState state;
  private int delayedPlacements;

  @BeforeEach
  void occupyServers() {
    state =
        new ForwardingState(
            "a",
            true,
            new RetryLimits(0.2, 50, TimeUnit.SECONDS.toNanos(10)),
            new ServerTable("this", eventLoops.next(), new TestCodec(), EventSink.none()),
            EventSink.none(),
            new SplittableRandom(1));
    state.onSharedCapacity(() -> delayedPlacements++);
    EngineCapacity capacity = new EngineCapacity(24, 34_000, 4, 10, true);
    state.applyConfiguration(
        new ForwardingConfiguration(
            1,
            FrontendLimits.INITIAL,
            List.of(),
            Map.of(
                "plain", new ForwardingService("plain", 99, Optional.empty()),
                "model", new ForwardingService("model", 99, Optional.of(capacity))),
            false,
            Map.of()),
        "test");
    state.updateServers(List.of(entry("plain-1", "plain"), entry("model-1", "model")), "test");
    state.updatePeerWork("other", Map.of("plain-1", FULL, "model-1", FULL));
  }

  @AfterEach
  void stop() {
    eventLoops.shutdownGracefully();
  }

  private static ServerEntry entry(String id, String service) {
    return new ServerEntry(id, 1, service, "v1", "127.0.0.1", 1, "a", 6, false, Duration.ZERO);
  }

  private RecordingRequest submit(String service, RequestDemand demand) {
    RecordingRequest request = new RecordingRequest(demand);
    state.dispatcher(service).submit(request);
    assertThat(request.server).isEmpty();
    return request;
  }

  /**
   * Guards against a short call that remains queued beyond its target latency although a server has
   * capacity.
   */
  @Test
  void placesServiceCallsImmediatelyWhenPeersReportCapacity() {
    RecordingRequest call = submit("plain", RequestDemand.SERVICE_CALL);
    state.updatePeerWork("other", Map.of());
    assertThat(call.server).hasValue("plain-1");
  }

  /** Guards against all instances using the KV cache that one report shows as free. */
  @Test
  void delaysGenerationsWhenPeersReportCapacity() {
    RecordingRequest generation = submit("model", RequestDemand.generation(3_000, 100));
    state.updatePeerWork("other", Map.of());
    assertThat(generation.server).isEmpty();
    assertThat(delayedPlacements).isEqualTo(1);
    state.placeAllQueued();
    assertThat(generation.server).hasValue("model-1");
  }

  /** Guards against all instances sending their queued generations to a new engine. */
  @Test
  void delaysGenerationsWhenAnEngineIsAdded() {
    RecordingRequest generation = submit("model", RequestDemand.generation(3_000, 100));
    state.updateServers(List.of(entry("model-1", "model"), entry("model-2", "model")), "test");
    assertThat(generation.server).isEmpty();
    assertThat(delayedPlacements).isEqualTo(1);
    state.placeAllQueued();
    assertThat(generation.server).hasValue("model-2");
  }

  /** Guards against using an earlier start of a server that the older copy of the store lists. */
  @Test
  void keepsTheLatestIncarnationOfAServerAfterTheDirectoryReturnedOlder() {
    ServerEntry restarted =
        new ServerEntry("plain-1", 2, "plain", "v1", "127.0.0.1", 2, "a", 6, false, Duration.ZERO);
    state.updateServers(List.of(restarted, entry("model-1", "model")), "test");
    state.onDirectoryReturnedOlder(true);
    state.updateServers(List.of(entry("plain-1", "plain")), "test");

    assertThat(state.servers().server("plain-1").orElseThrow().entry()).isEqualTo(restarted);
    assertThat(state.servers().server("model-1").orElseThrow().load().leaving()).isFalse();
  }

  /** Request that records where it was placed. */
  private static final class RecordingRequest implements PlacementRequest {
    private final RequestDemand demand;
    private Optional<String> server = Optional.empty();

    private RecordingRequest(RequestDemand demand) {
      this.demand = demand;
    }

    @Override
    public RequestDemand demand() {
      return demand;
    }

    @Override
    public int priority() {
      return 0;
    }

    @Override
    public boolean accepts(BackendServer candidate) {
      return true;
    }

    @Override
    public void onQueued(PendingRequestQueue.Entry<PlacementRequest> entry) {}

    @Override
    public void onPlaced(BackendServer chosen) {
      server = Optional.of(chosen.entry().id());
    }

    @Override
    public long maxWaitNanos() {
      return Long.MAX_VALUE;
    }

    @Override
    public void onHopeless(String reason) {
      onNotQueued(reason);
    }

    @Override
    public void onNotQueued(String reason) {
      throw new AssertionError("the queue is empty");
    }
  }
}
