package org.basilport.gateway.forward;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.basilport.gateway.backend.ServerEntry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Versions of streams that other instances began, for an instance that may be out of date. */
class StreamVersionsTest {
  private static final Optional<Long> STREAM = Optional.of(5L);

  private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
  private final EventLoop eventLoop = eventLoops.next();
  private final FakeArchive archive = new FakeArchive();
  private long proofAgeMillis;
  private final StreamVersions versions =
      new StreamVersions(eventLoop, true, () -> 95, () -> proofAgeMillis);

  @AfterEach
  void stop() {
    eventLoops.shutdownGracefully();
  }

  private void start(boolean directoryCurrent, String... listed) throws Exception {
    run(
        () -> {
          versions.setArchive(archive);
          versions.setLongestTimeout(TimeUnit.SECONDS.toNanos(39));
          versions.setDirectoryCurrent(directoryCurrent);
          versions.list(
              Arrays.stream(listed)
                  .map(
                      version ->
                          new ServerEntry(
                              version, 1, "s", version, "h", 1, "z", 6, false, Duration.ZERO))
                  .toList());
        });
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

  /** Guards against store calls for take-ups while one version serves. */
  @Test
  void readsNothingIfTheDirectoryIsCurrentAndHasOneVersion() throws Exception {
    start(true, "v1");

    assertThat(resolve()).hasValue("v1");
    assertThat(archive.reads.get()).isEqualTo(0);
  }

  /** Guards against joining a stream of a version that an instance has not heard of yet. */
  @Test
  void readsWhichVersionsServeIfTheDirectoryMayBeOutOfDate() throws Exception {
    archive.served = Map.of("s", Set.of("v1", "v2"));
    archive.streams = Map.of(5L, "v2");
    start(false, "v1");
    assertThat(resolve()).hasValue("v2");
    archive.streams = Map.of();
    assertThat(resolve()).isEmpty();
  }

  /** Guards against trust in a list that nothing shows to be out of date, as after a pause. */
  @Test
  void trustsNoListThatIsOlderThanTheTakeUp() throws Exception {
    archive.served = Map.of("s", Set.of("v1", "v2"));
    archive.streams = Map.of(5L, "v2");
    start(true, "v1");

    assertThat(resolve()).hasValue("v2");
  }

  /** Guards against joining streams at an instance that is cut off from the store. */
  @Test
  void trustsNoListWhileTheStoreDoesNotRespond() throws Exception {
    archive.failure = true;
    start(true, "v1");
    proofAgeMillis = 3_000;

    assertThrows(ExecutionException.class, this::resolve);
  }

  /** Guards against a read for each of many take-ups after a restart of a large fleet. */
  @Test
  void sharesReadsAmongTakeUps() throws Exception {
    start(true, "v1", "v2");
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
    start(true, "v1");
    run(() -> versions.begin(5, "v1"));
    Thread.sleep(1_200);
    assertThat(archive.saved).isEmpty();
    start(true, "v1", "v2");
    run(() -> versions.begin(6, "v2"));
    run(() -> versions.complete(6));
    Thread.sleep(1_200);

    assertThat(archive.saved).containsExactly(5L, "v1");
  }

  /** Archive in memory. */
  private static final class FakeArchive implements StreamArchive {
    private final AtomicInteger reads = new AtomicInteger();
    private volatile Map<Long, String> streams = Map.of();
    private volatile Map<String, Set<String>> served = Map.of();
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
    public CompletableFuture<Map<String, Set<String>>> readServedVersions() {
      return read(served);
    }

    private <T> CompletableFuture<T> read(T value) {
      reads.incrementAndGet();
      return failure
          ? CompletableFuture.failedFuture(new IllegalStateException("store is away"))
          : CompletableFuture.completedFuture(value);
    }
  }
}
