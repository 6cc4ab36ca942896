package org.basilport.gateway.forward;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
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
import org.basilport.policy.dispatch.AllowedRegions;
import org.basilport.policy.dispatch.ContendingRequest;
import org.basilport.policy.dispatch.OutstandingWork;
import org.basilport.policy.dispatch.PendingRequestQueue;
import org.basilport.policy.dispatch.RequestDemand;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Queues of a service whose only server is occupied by other instances. */
class ContendedRequestsTest {
  private static final OutstandingWork FULL = new OutstandingWork(9, 0, 0);
  private static final OutstandingWork HALF_FULL_ENGINE = new OutstandingWork(2, 0, 20_000);
  private static final Duration TARGET = Duration.ofSeconds(1);
  private static final long MUCH = 1_000_000;

  private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
  private final List<String> placed = new ArrayList<>();
  private final List<String> refused = new ArrayList<>();
  private final Contention contention = new Contention(new SplittableRandom(1));
  private ForwardingState state;

  @AfterEach
  void stop() {
    eventLoops.shutdownGracefully();
  }

  private void start(boolean shared) {
    state =
        new ForwardingState(
            "a",
            true,
            new RetryLimits(0.2, 50, TimeUnit.SECONDS.toNanos(10)),
            new ServerTable("this", eventLoops.next(), new TestCodec(), EventSink.none()),
            EventSink.none(),
            new SplittableRandom(1));
    if (shared) {
      state.shareQueues(contention);
    }
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
    state.updatePeerWork("other", Map.of("plain-1", FULL, "model-1", HALF_FULL_ENGINE));
  }

  private static ServerEntry entry(String id, String service) {
    return new ServerEntry(id, 1, service, "v1", "127.0.0.1", 1, "a", 6, false, Duration.ZERO);
  }

  private TestRequest call(String id, long workspace) {
    TestRequest request = new TestRequest(id, workspace, RequestDemand.SERVICE_CALL);
    state.dispatcher("plain").submit(request);
    return request;
  }

  private void submitTwo() {
    contention.usage().charge(1, MUCH, System.nanoTime());
    contention.usage().charge(2, MUCH / 2, System.nanoTime());
    call("first", 1);
    call("second", 2);
    assertThat(state.queueLength()).isEqualTo(2);
  }

  /** Guards against a queue that ignores usage although the deployment shares load. */
  @Test
  void placesTheWorkspaceWithTheLeastUsageFirst() {
    start(true);
    submitTwo();
    assertThat(state.contendedQueueLength()).isEqualTo(2);
    state.updatePeerWork("other", Map.of("plain-1", new OutstandingWork(8, 0, 0)));
    assertThat(placed).containsExactly("second");
  }

  /** Guards against other decisions than before in deployments that do not share load. */
  @Test
  void placesByArrivalWithoutSharedQueues() {
    start(false);
    submitTwo();
    assertThat(state.contendedQueueLength()).isEqualTo(0);
    assertThat(state.contention()).isEmpty();
    state.updatePeerWork("other", Map.of("plain-1", new OutstandingWork(8, 0, 0)));
    assertThat(placed).containsExactly("first");
  }

  /**
   * Guards against a request that waits although its server has capacity, because requests that may
   * only run in another region, where there is none, precede it.
   */
  @Test
  void placesRequestsBehindThoseOfAnotherRegion() {
    start(true);
    for (int i = 0; i < 2 * PendingRequestQueue.REJECTION_LIMIT; i++) {
      state.dispatcher("plain").submit(new RestrictedRequest("restricted-" + i));
    }
    contention.usage().charge(1, MUCH, System.nanoTime());
    call("free", 1);
    state.updatePeerWork("other", Map.of("plain-1", new OutstandingWork(8, 0, 0)));
    assertThat(placed).containsExactly("free");
  }

  /** Guards against promises to callers of requests that are not refused. */
  @Test
  void countsReturnsAndDelays() {
    start(true);
    ServiceDispatcher dispatcher = state.dispatcher("plain");
    TestRequest request = call("refused", 1);
    dispatcher.removeQueued(request.entry);
    double delay = dispatcher.retryAfterSeconds(request, TARGET, new SplittableRandom(1));
    dispatcher.onEnded(request, OptionalLong.empty());
    assertThat(delay).isAtLeast(0.5);
    assertThat(contention.retryAfterMillis().getCount()).isEqualTo(1);
    call("early", 1);
    assertThat(contention.returnedInTime().getCount()).isEqualTo(0);
    assertThat(state.queueLength()).isEqualTo(1);
  }

  /** Guards against a reservation that others do not see, or that stays after its request. */
  @Test
  void reservesTheNextCapacityForALargeGeneration() throws Exception {
    start(true);
    ServiceDispatcher dispatcher = state.dispatcher("model");
    TestRequest large = new TestRequest("large", 1, RequestDemand.generation(20_000, 100));
    TestRequest small = new TestRequest("small", 2, RequestDemand.generation(18_000, 100));
    dispatcher.submit(large);
    dispatcher.submit(small);
    BackendServer server = state.servers().server("model-1").orElseThrow();
    assertThat(server.load().ownWork().requests()).isEqualTo(0);
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    while (server.load().ownWork().requests() == 0 && System.nanoTime() - end < 0) {
      Thread.sleep(20);
      dispatcher.placeQueued();
    }
    assertThat(server.load().ownWork()).isEqualTo(large.demand().toWork());
    dispatcher.removeQueued(large.entry);
    assertThat(server.load().ownWork()).isEqualTo(OutstandingWork.NONE);
  }

  /** Request that may only run in a region that no server is in. */
  private final class RestrictedRequest extends TestRequest {
    private RestrictedRequest(String id) {
      super(id, 2, RequestDemand.SERVICE_CALL);
    }

    @Override
    public boolean accepts(BackendServer candidate) {
      return false;
    }

    @Override
    public RequestRegions regions() {
      return new RequestRegions() {
        @Override
        public AllowedRegions allowed() {
          return AllowedRegions.of(List.of("elsewhere"));
        }

        @Override
        public boolean permit(BackendServer server) {
          return false;
        }

        @Override
        public String recordUnavailable() {
          return "no backend server in an allowed region";
        }
      };
    }
  }

  /** Request that records what became of it. */
  private class TestRequest implements PlacementRequest {
    private final String id;
    private final long workspace;
    private final RequestDemand demand;
    private PendingRequestQueue.Entry<PlacementRequest> entry;

    private TestRequest(String id, long workspace, RequestDemand demand) {
      this.id = id;
      this.workspace = workspace;
      this.demand = demand;
    }

    @Override
    public RequestDemand demand() {
      return demand;
    }

    @Override
    public ContendingRequest contendingRequest() {
      return new ContendingRequest(0, workspace, 0, 100 + demand.promptTokens());
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
    public void onQueued(PendingRequestQueue.Entry<PlacementRequest> queued) {
      entry = queued;
    }

    @Override
    public void onPlaced(BackendServer chosen) {
      placed.add(id);
    }

    @Override
    public long maxWaitNanos() {
      return TimeUnit.SECONDS.toNanos(60);
    }

    @Override
    public void onHopeless(String reason) {
      onNotQueued(reason);
    }

    @Override
    public void onNotQueued(String reason) {
      refused.add(id);
    }
  }
}
