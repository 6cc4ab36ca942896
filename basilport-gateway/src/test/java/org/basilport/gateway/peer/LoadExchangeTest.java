package org.basilport.gateway.peer;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.basilport.event.EventSink;
import org.basilport.gateway.TestCodec;
import org.basilport.gateway.backend.BackendServer;
import org.basilport.gateway.backend.ServerEntry;
import org.basilport.gateway.backend.ServerTable;
import org.basilport.gateway.config.EngineCapacity;
import org.basilport.gateway.config.ForwardingConfiguration;
import org.basilport.gateway.config.ForwardingService;
import org.basilport.gateway.config.FrontendLimits;
import org.basilport.gateway.forward.ForwardingState;
import org.basilport.gateway.forward.ForwardingState.RetryLimits;
import org.basilport.misc.LoopbackPorts;
import org.basilport.policy.dispatch.CellPartition;
import org.basilport.policy.dispatch.OutstandingWork;
import org.basilport.policy.dispatch.RequestContent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Exchanges datagrams between two instances of a large fleet whose other instances do not respond.
 */
class LoadExchangeTest {
  /** Seven cells, which have at most 12 instances each. */
  private static final int INSTANCE_COUNT = 73;

  private static final int ENGINE_COUNT = 34;

  /**
   * Longer than the time without a report after which an instance of the own cell is considered
   * dead.
   */
  private static final long QUIET_PERIOD_MILLIS = 3_000;

  /** Bound of a wait for a report, which instances send several times a second. */
  private static final long REPORT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

  private static final double LIMIT = 2.5;
  private static final int CRASHES = 5;
  private static final long CRASHING_PART = 77;

  private static final OutstandingWork GENERATION = new OutstandingWork(1, 0, 3_500);

  private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(2);
  private final List<String> instances = ids("instance-", INSTANCE_COUNT);
  private final List<String> engines = ids("engine-", ENGINE_COUNT);
  private final CellPartition cells = new CellPartition(instances, engines);
  private final String engine = engineOfCell(3);
  private TestInstance first;
  private TestInstance second;

  private static List<String> ids(String prefix, int count) {
    return IntStream.range(0, count).mapToObj(i -> prefix + i).toList();
  }

  private void startInstancesOf(int cell, int otherCell) throws Exception {
    first = new TestInstance(instanceOf(cell));
    second = new TestInstance(instanceOf(otherCell));
    first.start(second);
    second.start(first);
  }

  private String instanceOf(int cell) {
    return instances.stream().filter(id -> cells.cellOf(id) == cell).findFirst().orElseThrow();
  }

  private String engineOfCell(int cell) {
    return engines.stream()
        .filter(id -> cells.cellsOfEngine(id).equals(Set.of(cell, cell + 1)))
        .findFirst()
        .orElseThrow();
  }

  /** Waits until what one instance told is known to the other one. */
  private static void await(Callable<Boolean> condition) throws Exception {
    long end = System.nanoTime() + REPORT_TIMEOUT_NANOS;
    while (!condition.call() && end - System.nanoTime() > 0) {
      Thread.sleep(10);
    }
    assertThat(condition.call()).isTrue();
  }

  @AfterEach
  void stop() throws Exception {
    first.exchange.stop().get(5, TimeUnit.SECONDS);
    second.exchange.stop().get(5, TimeUnit.SECONDS);
    eventLoops.shutdownGracefully();
  }

  /**
   * Guards against two cells that overload an engine: a generation does not change its reported
   * work for several seconds, and a neighbouring cell must not consider its KV cache free.
   */
  @Test
  void retainsWorkOfANeighbouringCell() throws Exception {
    startInstancesOf(3, 4);
    first.addWork(GENERATION);
    await(() -> second.totalWork().equals(GENERATION));
    Thread.sleep(QUIET_PERIOD_MILLIS);
    assertThat(second.totalWork()).isEqualTo(GENERATION);
  }

  /**
   * Guards against giving the capacity of an instance to others that was only silent: its
   * generations continue at the engines, which would preempt them.
   */
  @Test
  void retainsTheWorkOfASilentInstance() throws Exception {
    second = new TestInstance(instanceOf(3));
    first =
        new TestInstance(
            instances.stream()
                .filter(id -> cells.cellOf(id) == 3 && !id.equals(second.id))
                .findFirst()
                .orElseThrow());
    first.start(second);
    second.start(first);
    first.addWork(GENERATION);
    await(() -> second.totalWork().equals(GENERATION));
    first.exchange.stop().get(5, TimeUnit.SECONDS);
    Thread.sleep(QUIET_PERIOD_MILLIS);
    assertThat(second.totalWork()).isEqualTo(GENERATION);
    assertThat(second.exchange.readyAddresses()).isEmpty();
  }

  /** Guards against permanently counting the work of a dead instance. */
  @Test
  void removesTheWorkOfADeadNeighbour() throws Exception {
    startInstancesOf(3, 4);
    first.addWork(GENERATION);
    await(() -> second.totalWork().equals(GENERATION));
    first.exchange.stop().get(5, TimeUnit.SECONDS);
    Thread.sleep(2 * QUIET_PERIOD_MILLIS);
    assertThat(second.totalWork()).isEqualTo(OutstandingWork.NONE);
  }

  /**
   * Guards against overloading an engine that is reassigned when others leave, because its new
   * cells do not know its work.
   */
  @Test
  void reportsWorkToTheNewCellsOfAnEngine() throws Exception {
    startInstancesOf(3, 1);
    first.addWork(GENERATION);
    List<String> remaining = List.of(engine);
    assertThat(new CellPartition(instances, remaining).cellsOfEngine(engine)).contains(1);
    first.list(remaining);
    second.list(remaining);
    await(() -> second.totalWork().equals(GENERATION));
    Thread.sleep(QUIET_PERIOD_MILLIS);
    assertThat(second.totalWork()).isEqualTo(GENERATION);
  }

  /** Guards against instances that keep the limit of a server only after its response to them. */
  @Test
  void reportsTheLimitOfAServerToDistantCells() throws Exception {
    startInstancesOf(3, 0);
    first.run(
        servers ->
            servers
                .limits()
                .record(servers.server(engine).orElseThrow(), OptionalDouble.of(LIMIT)));
    await(second::limited);
    first.run(
        servers ->
            servers.limits().record(servers.server(engine).orElseThrow(), OptionalDouble.empty()));
    await(() -> !second.limited());
  }

  /** Guards against a crashing prompt part that only its witnesses stop. */
  @Test
  void reportsCrashesToDistantCells() throws Exception {
    startInstancesOf(3, 0);
    first.run(
        servers -> {
          for (int i = 0; i < CRASHES; i++) {
            RequestContent content = new RequestContent(i, List.of(CRASHING_PART));
            BackendServer server = servers.server(engines.get(i)).orElseThrow();
            servers.crashMonitor().recordLostRun(content, true, server);
            servers.crashMonitor().recordDeadServer(server.entry(), "test");
          }
        });
    Thread.sleep(3_000);
    assertThat(second.quarantines(new RequestContent(99, List.of(CRASHING_PART)))).isTrue();
    assertThat(second.quarantines(new RequestContent(99, List.of()))).isFalse();
  }

  /** Instance of the fleet. */
  private final class TestInstance {
    private final String id;
    private final InetSocketAddress address = LoopbackPorts.freeAddress();
    private final EventLoop eventLoop = eventLoops.next();
    private final ForwardingState state;
    private final LoadExchange exchange;

    TestInstance(String id) throws IOException {
      this.id = id;
      this.state =
          new ForwardingState(
              "a",
              true,
              new RetryLimits(0.2, 50, TimeUnit.SECONDS.toNanos(10)),
              new ServerTable(id, eventLoop, new TestCodec(), EventSink.none()),
              EventSink.none(),
              new SplittableRandom(1));
      this.exchange = new LoadExchange(address, eventLoop, id, false, id, state, EventSink.none());
    }

    void start(TestInstance other) throws Exception {
      List<InstanceEntry> entries = new ArrayList<>();
      InetSocketAddress unusedAddress = LoopbackPorts.freeAddress();
      for (String instance : instances) {
        entries.add(
            new InstanceEntry(instance, instance.equals(other.id) ? other.address : unusedAddress));
      }
      EngineCapacity capacity = new EngineCapacity(24, 21_873, 4, 10, true);
      exchange.start().get(5, TimeUnit.SECONDS);
      eventLoop
          .submit(
              () -> {
                state.applyConfiguration(
                    new ForwardingConfiguration(
                        1,
                        FrontendLimits.INITIAL,
                        List.of(),
                        Map.of("model", new ForwardingService("model", 9, Optional.of(capacity))),
                        false,
                        Map.of()),
                    "test");
                exchange.updateInstances(entries);
              })
          .get(5, TimeUnit.SECONDS);
      list(engines);
    }

    void list(List<String> listed) throws Exception {
      eventLoop
          .submit(() -> state.updateServers(listed.stream().map(this::entry).toList(), "test"))
          .get(5, TimeUnit.SECONDS);
    }

    private ServerEntry entry(String engineId) {
      return new ServerEntry(
          engineId, 1, "model", "v1", "127.0.0.1", 1, "a", 24, false, Duration.ZERO);
    }

    void addWork(OutstandingWork work) throws Exception {
      eventLoop
          .submit(() -> state.servers().server(engine).orElseThrow().load().addOwnWork(work))
          .get(5, TimeUnit.SECONDS);
    }

    void run(Consumer<ServerTable> action) throws Exception {
      eventLoop.submit(() -> action.accept(state.servers())).get(5, TimeUnit.SECONDS);
    }

    boolean limited() throws Exception {
      return eventLoop
          .submit(
              () ->
                  state
                      .servers()
                      .server(engine)
                      .orElseThrow()
                      .load()
                      .admission()
                      .rateLimit()
                      .isPresent())
          .get(5, TimeUnit.SECONDS);
    }

    boolean quarantines(RequestContent content) throws Exception {
      return eventLoop
          .submit(() -> state.servers().crashMonitor().quarantine(content).isPresent())
          .get(5, TimeUnit.SECONDS);
    }

    OutstandingWork totalWork() throws Exception {
      return eventLoop
          .submit(() -> state.servers().server(engine).orElseThrow().load().totalWork())
          .get(5, TimeUnit.SECONDS);
    }
  }
}
