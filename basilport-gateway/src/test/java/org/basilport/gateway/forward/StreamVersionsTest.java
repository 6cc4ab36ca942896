package org.basilport.gateway.forward;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.basilport.gateway.backend.ServerEntry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Versions of streams that other instances began, for an instance that may be out of date. */
class StreamVersionsTest {
  private static final Optional<Long> STREAM = Optional.of(5L);

  private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
  private final EventLoop eventLoop = eventLoops.next();
  private final FakeArchive archive = new FakeArchive();
  private long completeIncarnation = 1;
  private final StreamVersions versions =
      new StreamVersions(eventLoop, true, () -> 95, () -> completeIncarnation);

  @AfterEach
  void stop() {
    eventLoops.shutdownGracefully();
  }

  private void start(String... listed) throws Exception {
    run(
        () -> {
          versions.setArchive(archive);
          versions.setLongestTimeout(TimeUnit.SECONDS.toNanos(39));
          versions.list(servers(listed));
        });
  }

  private static List<ServerEntry> servers(String... versions) {
    return Arrays.stream(versions)
        .map(
            version ->
                new ServerEntry(version, 1, "s", version, "h", 1, "z", 6, false, Duration.ZERO))
        .toList();
  }

  private void run(Runnable task) throws Exception {
    eventLoop.submit(task).get(5, TimeUnit.SECONDS);
  }

  private Optional<String> resolve() throws Exception {
    CompletableFuture<StreamVersions.Resolution> result = new CompletableFuture<>();
    run(
        () ->
            versions
                .resolve(STREAM, "s")
                .whenComplete(
                    (resolution, failure) -> {
                      if (failure == null) {
                        result.complete(resolution);
                      } else {
                        result.completeExceptionally(failure);
                      }
                    }));
    return result.get(5, TimeUnit.SECONDS).version();
  }

  /** Guards against a store call for each of many take-ups while one version serves. */
  @Test
  void sharesOneReadAmongTakeUpsWhileOneVersionServes() throws Exception {
    archive.claimed = Map.of("i1", Map.of("s", Set.of("v1")));
    start("v1");
    List<CompletableFuture<StreamVersions.Resolution>> results = new ArrayList<>();
    run(
        () ->
            IntStream.range(0, 500)
                .forEach(i -> results.add(versions.resolve(Optional.of((long) i), "s"))));
    for (CompletableFuture<StreamVersions.Resolution> result : results) {
      assertThat(result.get(5, TimeUnit.SECONDS).version()).hasValue("v1");
    }

    assertThat(archive.reads.get()).isEqualTo(1);
  }

  /** Guards against a second read where no read can show that one version serves. */
  @Test
  void readsOnlyTheStreamsWhileSeveralVersionsServe() throws Exception {
    archive.streams = Map.of(5L, "v2");
    start("v1", "v2");

    assertThat(resolve()).hasValue("v2");
    assertThat(archive.reads.get()).isEqualTo(1);
  }

  /** Guards against store calls for streams of the instance's own. */
  @Test
  void readsNothingForItsOwnStreams() throws Exception {
    archive.failure = true;
    start("v1");
    run(() -> versions.begin(5, "v1"));
    start("v2");

    assertThat(resolve()).hasValue("v1");
    assertThat(archive.reads.get()).isEqualTo(0);
  }

  /** Guards against a version that no instance has heard of when a take-up arrives. */
  @Test
  void readsTheServersThatNoInstanceHasHeardOf() throws Exception {
    archive.claimed = Map.of("i1", Map.of("s", Set.of("v1")));
    archive.servers = servers("v1", "v2");
    start("v1");

    assertThat(resolve()).isEmpty();
  }

  /** Guards against taking the present claims for those of before a restart of all instances. */
  @Test
  void trustsNoOnlyVersionAfterAStartWithoutClaims() throws Exception {
    archive.claimed = Map.of("i1", Map.of("s", Set.of("v2")));
    CompletableFuture<Optional<String>> result = new CompletableFuture<>();
    run(
        () -> {
          StreamVersions restarted = new StreamVersions(eventLoop, false, () -> 95, () -> 1);
          restarted.setArchive(archive);
          restarted.list(servers("v2"));
          restarted
              .resolve(STREAM, "s")
              .thenAccept(resolution -> result.complete(resolution.version()));
        });

    assertThat(result.get(5, TimeUnit.SECONDS)).isEmpty();
  }

  /** Guards against a store that returned from an older copy without its latest servers. */
  @Test
  void trustsNoReadOfAStoreThatMayLackServers() throws Exception {
    archive.incarnation = 2;
    start("v1");
    assertThrows(ExecutionException.class, this::resolve);
    completeIncarnation = 2;
    assertThat(resolve()).hasValue("v1");
  }

  /** Guards against refusals for ever because of instances that were lost during a release. */
  @Test
  void ignoresClaimsOfLostInstancesAfterTheirStreamsEnded() throws Exception {
    archive.claimed = Map.of("i1", Map.of("s", Set.of("v1", "v2")));
    start("v2");
    run(() -> versions.setLongestTimeout(-TimeUnit.MILLISECONDS.toNanos(3_000)));
    run(() -> versions.claim(archive.claimed));
    assertThat(resolve()).isEmpty();
    Thread.sleep(2_100);

    assertThat(resolve()).hasValue("v2");
  }

  /** Guards against joining a stream of a version that an instance has not heard of yet. */
  @Test
  void readsWhichVersionsServeIfTheDirectoryMayBeOutOfDate() throws Exception {
    archive.claimed = Map.of("i1", Map.of("s", Set.of("v1", "v2")));
    archive.streams = Map.of(5L, "v2");
    start("v1");
    assertThat(resolve()).hasValue("v2");
    archive.streams = Map.of();
    assertThat(resolve()).isEmpty();
  }

  /** Guards against trust in a list that nothing shows to be out of date, as after a pause. */
  @Test
  void trustsNoListThatIsOlderThanTheTakeUp() throws Exception {
    archive.claimed = Map.of("i1", Map.of("s", Set.of("v1", "v2")));
    archive.streams = Map.of(5L, "v2");
    start("v1");

    assertThat(resolve()).hasValue("v2");
  }

  /** Guards against joining streams at an instance that is cut off from the store. */
  @Test
  void trustsNoListWhileTheStoreDoesNotRespond() throws Exception {
    archive.failure = true;
    start("v1");

    assertThrows(ExecutionException.class, this::resolve);
  }

  /** Guards against a read for each of many take-ups after a restart of a large fleet. */
  @Test
  void sharesReadsAmongTakeUps() throws Exception {
    start("v1", "v2");
    List<CompletableFuture<StreamVersions.Resolution>> results = new ArrayList<>();
    run(
        () ->
            IntStream.range(0, 500)
                .forEach(i -> results.add(versions.resolve(Optional.of((long) i), "s"))));
    for (CompletableFuture<StreamVersions.Resolution> result : results) {
      assertThat(result.get(5, TimeUnit.SECONDS).version()).isEmpty();
    }

    assertThat(archive.reads.get()).isAtMost(2);
  }

  /** Guards against writes for streams while one version serves, and against lost ones else. */
  @Test
  void savesUnfinishedStreamsWhileSeveralVersionsServe() throws Exception {
    start("v1");
    run(() -> versions.begin(5, "v1"));
    Thread.sleep(1_200);
    assertThat(archive.saved).isEmpty();
    start("v1", "v2");
    run(() -> versions.begin(6, "v2"));
    run(() -> versions.complete(6));
    for (int i = 0; i < 1_000 && archive.saved.isEmpty(); i++) {
      Thread.sleep(10);
    }

    assertThat(archive.saved).containsExactly(5L, "v1");
  }

  /** Instances of which some have not heard of a release. */
  @Nested
  class Fleet {
    private static final int STREAMS = 60;

    private final SplittableRandom random = new SplittableRandom(33);
    private final Map<Long, String> begun = new HashMap<>();

    private StreamVersions instance(int size, String... listed) {
      StreamVersions instance = new StreamVersions(eventLoop, true, () -> size, () -> 1);
      instance.setArchive(archive);
      instance.list(servers(listed));
      return instance;
    }

    /** Releases v2 and begins streams at both versions; half of them are stored in time. */
    private void release(int size, int outOfStep, boolean left) {
      Map<String, Map<String, Set<String>>> claimed = new HashMap<>();
      for (int i = outOfStep; i < size; i++) {
        StreamVersions inStep = instance(size, "v1", "v2");
        if (left || random.nextBoolean()) {
          claimed.put("i" + i, inStep.served());
        }
      }
      archive.claimed = claimed;
      archive.servers = left ? servers("v1") : servers("v1", "v2");
      Map<Long, String> stored = new HashMap<>();
      for (long key = 0; key < STREAMS; key++) {
        begun.put(key, random.nextBoolean() ? "v1" : "v2");
        if (random.nextBoolean()) {
          stored.put(key, begun.get(key));
        }
      }
      archive.streams = stored;
    }

    private void assertNoneJoined(int size, boolean left) throws Exception {
      int outOfStep = size / 3;
      List<List<CompletableFuture<StreamVersions.Resolution>>> results = new ArrayList<>();
      run(
          () -> {
            release(size, outOfStep, left);
            for (int i = 0; i < outOfStep; i++) {
              StreamVersions late = instance(size, "v1");
              results.add(
                  LongStream.range(0, STREAMS)
                      .mapToObj(key -> late.resolve(Optional.of(key), "s"))
                      .toList());
            }
          });
      for (List<CompletableFuture<StreamVersions.Resolution>> resolved : results) {
        for (long key = 0; key < STREAMS; key++) {
          assertThat(resolved.get((int) key).get(5, TimeUnit.SECONDS).version())
              .isEqualTo(Optional.ofNullable(archive.streams.get(key)));
        }
      }
    }

    /** Guards against more reads than the store permits when all instances get take-ups. */
    @Test
    void readsLessOftenIfItIsLarger() throws Exception {
      StreamVersions large = instance(350, "v1");
      long start = System.nanoTime();
      for (int i = 0; i < 2; i++) {
        CompletableFuture<StreamVersions.Resolution> result = new CompletableFuture<>();
        run(() -> large.resolve(STREAM, "s").thenAccept(result::complete));
        result.get(5, TimeUnit.SECONDS);
      }

      assertThat(System.nanoTime() - start).isAtLeast(TimeUnit.MILLISECONDS.toNanos(1_000));
      assertThat(archive.reads.get()).isEqualTo(2);
    }

    /** Guards against joined streams at instances that have not heard of a version. */
    @ParameterizedTest
    @ValueSource(ints = {6, 95, 350})
    void joinsNoStreamsOfAVersionThatHasCome(int size) throws Exception {
      assertNoneJoined(size, false);
    }

    /** Guards against joined streams at instances that have never heard of a version. */
    @ParameterizedTest
    @ValueSource(ints = {6, 95, 350})
    void joinsNoStreamsOfAVersionThatCameAndLeft(int size) throws Exception {
      assertNoneJoined(size, true);
    }
  }

  /** Archive in memory. */
  private static final class FakeArchive implements StreamArchive {
    private final AtomicInteger reads = new AtomicInteger();
    private volatile Map<Long, String> streams = Map.of();
    private volatile Map<String, Map<String, Set<String>>> claimed = Map.of();
    private volatile List<ServerEntry> servers = List.of();
    private volatile long incarnation = 1;
    private volatile Map<Long, String> saved = Map.of();
    private volatile boolean failure;

    @Override
    public void save(Map<Long, String> versionsByStream) {
      saved = versionsByStream;
    }

    @Override
    public CompletableFuture<Map<Long, String>> readStreams() {
      return read(streams);
    }

    @Override
    public CompletableFuture<Map<Long, String>> readFormerStreams() {
      return read(Map.of());
    }

    @Override
    public CompletableFuture<StoredVersions> readVersions() {
      return read(new StoredVersions(servers, claimed, incarnation));
    }

    private <T> CompletableFuture<T> read(T value) {
      reads.incrementAndGet();
      return failure
          ? CompletableFuture.failedFuture(new IllegalStateException("store is away"))
          : CompletableFuture.completedFuture(value);
    }
  }
}
