package org.basilport.standin.site;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.basilport.engine.ModelEngine;
import org.basilport.engine.http.HttpModelEngine;
import org.basilport.error.BasilportException;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.http.HttpCall;
import org.basilport.http.HttpTimeouts;
import org.basilport.http.HttpTransport;
import org.basilport.http.Json;
import org.basilport.platform.InstanceKind;
import org.basilport.platform.InstanceState;
import org.basilport.platform.ListedInstance;
import org.basilport.platform.http.HttpInstanceDirectory;
import org.basilport.standin.engine.EngineSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class StandInProcessTest {
  /** Limit of a wait for a state, which only a state that never comes reaches. */
  private static final Duration LIMIT = Duration.ofSeconds(30);

  private final HttpTransport transport = HttpTransport.standalone(1, HttpTimeouts.defaults());
  private final StandInProcess process =
      new StandInProcess(
          new SiteSettings(
              "r", List.of("a", "b"), "llm", 3, "app", 2, 0, 1, EngineSettings.defaults()));

  @BeforeEach
  void start() {
    process.start().join();
  }

  @AfterEach
  void stop() {
    transport.close();
    process.stop().join();
  }

  private List<ListedInstance> list() {
    return new HttpInstanceDirectory(transport, process.platformAddress(), "c").list().join();
  }

  private int send(String method, String address, String path, Object body) {
    HttpCall call = HttpCall.of(method, address, path);
    return transport
        .exchange(body == null ? call : call.withBody("application/json", Json.bytes(body)))
        .join()
        .status();
  }

  /**
   * Guards against backend servers missing from the instance directory, and ineffective admin
   * calls.
   */
  @Test
  void instanceListNamesAllServersAndCanBeChanged() {
    assertThat(list().stream().map(ListedInstance::id))
        .containsExactly("app-0", "app-1", "llm-0", "llm-1", "llm-2");
    ListedInstance entry =
        new ListedInstance(
            "entry-1", InstanceKind.ENTRY, "", "r", "a", "x:1", "x:2", InstanceState.LIVE, 1);
    String address = process.platformAddress();

    assertThat(send("PUT", address, "/instances/entry-1", entry)).isEqualTo(204);
    assertThat(send("POST", address, "/instances/llm-2/leaving", null)).isEqualTo(204);
    assertThat(send("DELETE", address, "/instances/app-1", null)).isEqualTo(204);

    assertThat(list()).contains(entry);
    assertThat(list().stream().filter(i -> i.state() == InstanceState.LEAVING)).hasSize(1);
    assertThat(list()).hasSize(5);
  }

  /** Guards against a crashed engine that accepts connections or does not restart. */
  @Test
  void crashedEngineRefusesConnectionsAndRestarts() throws Exception {
    String address = process.engineServers().get(0).address();
    ModelEngine engine = new HttpModelEngine(transport, address);
    send("POST", address, "/admin/crash?restartAfterMillis=5000", null);

    assertThat(awaitRefusal(engine)).isEqualTo(Outcome.NOT_RUN);
    assertThat(awaitIncarnation(engine)).isEqualTo(2);
  }

  /** Outcome of the first call that fails because no connection is accepted. */
  private static Outcome awaitRefusal(ModelEngine engine) throws Exception {
    return await(
        () ->
            engine
                .report()
                .handle((report, failure) -> Optional.ofNullable(failure))
                .join()
                .map(f -> BasilportException.unwrap(f, Outcome.MAY_HAVE_RUN, Step.SEND).outcome())
                .filter(outcome -> outcome == Outcome.NOT_RUN));
  }

  private static long awaitIncarnation(ModelEngine engine) throws Exception {
    return await(() -> Optional.ofNullable(engine.report().exceptionally(failure -> null).join()))
        .incarnation();
  }

  /** Waits for a value; fails after {@link #LIMIT}. */
  private static <T> T await(Supplier<Optional<T>> value) throws InterruptedException {
    long end = System.nanoTime() + LIMIT.toNanos();
    while (true) {
      Optional<T> present = value.get();
      if (present.isPresent()) {
        return present.get();
      }
      assertThat(end - System.nanoTime()).isGreaterThan(0L);
      TimeUnit.MILLISECONDS.sleep(50);
    }
  }
}
