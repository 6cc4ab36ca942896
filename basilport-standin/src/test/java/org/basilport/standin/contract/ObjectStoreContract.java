package org.basilport.standin.contract;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.basilport.error.BasilportException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.platform.InstanceDirectory;
import org.basilport.platform.InstanceKind;
import org.basilport.platform.InstanceState;
import org.basilport.platform.ListedInstance;
import org.basilport.platform.ObjectStore;
import org.basilport.platform.StoredObject;
import org.basilport.platform.WeightStore;
import org.basilport.standin.platform.CallKind;
import org.basilport.standin.platform.MemoryPlatform;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Contract tests for object stores, instance directories and weight stores of the platform. */
abstract class ObjectStoreContract {
  static final String CLIENT = "client-1";
  private static final byte[] VALUE = "value".getBytes(StandardCharsets.UTF_8);

  final TestClock clock = clock();
  final MemoryPlatform platform = new MemoryPlatform(clock.scheduler(), new SplittableRandom(1));
  private ObjectStore store;

  abstract TestClock clock();

  abstract ObjectStore store();

  abstract InstanceDirectory directory();

  abstract WeightStore weights();

  void open() {}

  @BeforeEach
  void start() {
    open();
    store = store();
  }

  @AfterEach
  void stop() {
    clock.close();
  }

  /** Guards against lost updates, and against versions that restart after a deletion. */
  @Test
  void versionsIncreaseAndWritesAreConditional() {
    long first = clock.await(store.write("a/b", VALUE, ObjectStore.ABSENT));
    long second = clock.await(store.write("a/b", VALUE, first));
    assertThat(second).isGreaterThan(first);
    assertThat(clock.await(store.read("a/b")))
        .isEqualTo(Optional.of(new StoredObject("a/b", second, VALUE)));
    assertThat(clock.awaitFailure(store.delete("a/b", first)).code())
        .isEqualTo(FailureCode.CONFLICT);

    clock.await(store.delete("a/b", second));

    assertThat(clock.await(store.read("a/b"))).isEqualTo(Optional.empty());
    assertThat(clock.await(store.write("a/b", VALUE, ObjectStore.ABSENT))).isGreaterThan(second);
  }

  /** Guards against a version conflict that is reported as a write that may have taken effect. */
  @ParameterizedTest
  @CsvSource({"present, 0", "present, 99", "absent, 1"})
  void writeWithAnotherVersionConflicts(String name, long expectedVersion) {
    clock.await(store.write("present", VALUE, ObjectStore.ABSENT));

    BasilportException failure = clock.awaitFailure(store.write(name, VALUE, expectedVersion));

    assertThat(failure.code()).isEqualTo(FailureCode.CONFLICT);
    assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  /** Guards against object names that change when they are encoded in a URL path. */
  @ParameterizedTest
  @ValueSource(strings = {"config/head", "a b+c", "50%25", "claims/17/é?x=1&y#z"})
  void namesSurvivePathEncoding(String name) {
    clock.await(store.write(name, VALUE, ObjectStore.ABSENT));

    assertThat(clock.await(store.list(name.substring(0, 2)))).containsExactly(name);
    assertThat(clock.await(store.read(name)).orElseThrow().name()).isEqualTo(name);
  }

  /** Guards against accepting values larger than 1,000,000 bytes, which the platform rejects. */
  @ParameterizedTest
  @CsvSource({"1000000, true", "1000001, false"})
  void valueSizeIsLimited(int bytes, boolean accepted) {
    CompletableFuture<Long> write = store.write("big", new byte[bytes], ObjectStore.ABSENT);

    if (accepted) {
      clock.await(write);
      assertThat(clock.await(store.read("big")).orElseThrow().value()).hasLength(bytes);
    } else {
      assertThat(clock.awaitFailure(write).code()).isEqualTo(FailureCode.TOO_LARGE);
    }
  }

  /** Guards against watches that miss a change, never time out, or count as several calls. */
  @Test
  void watchCompletesOnceOnChangeOrTimeout() {
    CompletableFuture<Optional<StoredObject>> changed =
        store.watch("w", ObjectStore.ABSENT, Duration.ofSeconds(5));
    clock.awaitUntil(() -> platform.counts().of(CLIENT, CallKind.WATCH) == 1);
    clock.advance(Duration.ofMillis(50));
    assertThat(changed.isDone()).isFalse();
    long version = clock.await(store.write("w", VALUE, ObjectStore.ABSENT));

    assertThat(clock.await(changed).orElseThrow().version()).isEqualTo(version);
    assertThat(clock.await(store.watch("w", ObjectStore.ABSENT, Duration.ofSeconds(5))))
        .isEqualTo(clock.await(changed));
    assertThat(clock.await(store.watch("w", version, Duration.ofMillis(40))))
        .isEqualTo(Optional.empty());
    assertThat(platform.counts().of(CLIENT, CallKind.WATCH)).isEqualTo(3);
  }

  /** Guards against a write without response that is reported as not run or has no effect. */
  @Test
  void writeWithLostResponseMayHaveRun() {
    platform.faults().lostResponseTimeout(Duration.ofMillis(20));
    platform.faults().loseNextWriteResponse();

    BasilportException failure = clock.awaitFailure(store.write("x", VALUE, ObjectStore.ABSENT));

    assertThat(failure.outcome()).isEqualTo(Outcome.MAY_HAVE_RUN);
    assertThat(clock.await(store.read("x"))).isNotEqualTo(Optional.empty());
  }

  enum Interruption {
    OUTAGE,
    PARTITION
  }

  /** Guards against calls that hang or succeed while the platform is unreachable. */
  @ParameterizedTest
  @CsvSource({
    "OUTAGE, read",
    "OUTAGE, write",
    "OUTAGE, watch",
    "OUTAGE, list",
    "OUTAGE, instances",
    "PARTITION, read",
    "PARTITION, write",
    "PARTITION, watch",
    "PARTITION, instances"
  })
  void callsFailWhileUnreachable(Interruption interruption, String call) {
    Function<Boolean, Runnable> switchInterruption =
        on ->
            () -> {
              if (interruption == Interruption.OUTAGE) {
                platform.faults().outage(on);
              } else {
                platform.faults().partition(CLIENT, on);
              }
            };
    switchInterruption.apply(true).run();
    assertThat(clock.awaitFailure(callPlatform(call)).code())
        .isEqualTo(FailureCode.PLATFORM_UNAVAILABLE);

    switchInterruption.apply(false).run();

    clock.await(callPlatform(call));
  }

  private CompletableFuture<?> callPlatform(String call) {
    switch (call) {
      case "read":
        return store.read("x");
      case "write":
        return store.write("x", VALUE, ObjectStore.ABSENT);
      case "watch":
        return store.watch("x", ObjectStore.ABSENT, Duration.ofMillis(10));
      case "list":
        return store.list("x");
      default:
        return directory().list();
    }
  }

  /**
   * Guards against a directory without lag, which would hide faults in handling leaving instances.
   */
  @Test
  void instanceDirectoryChangesAreDelayed() {
    ListedInstance live =
        new ListedInstance(
            "e1", InstanceKind.BACKEND, "llm", "r", "dc", "a:1", "", InstanceState.LIVE, 3);
    platform.putInstance(live);
    platform.faults().instanceDirectoryLag(Duration.ofMillis(300));
    platform.markLeaving("e1");

    assertThat(clock.await(directory().list())).containsExactly(live);
    clock.advance(Duration.ofMillis(400));
    assertThat(clock.await(directory().list()))
        .containsExactly(live.withState(InstanceState.LEAVING));
  }

  /** Guards against weight fetches that exceed the rate limit of the weight store. */
  @Test
  void weightStoreLimitsFetches() {
    platform.limitWeightFetches(1, Duration.ofSeconds(60));
    clock.await(weights().reserveFetch("m", "1"));

    BasilportException failure = clock.awaitFailure(weights().reserveFetch("m", "1"));

    assertThat(failure.code()).isEqualTo(FailureCode.OVER_LIMIT);
    assertThat(failure.retryAfter().orElseThrow()).isGreaterThan(Duration.ofSeconds(30));
  }
}
