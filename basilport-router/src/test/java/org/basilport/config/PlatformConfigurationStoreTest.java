package org.basilport.config;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.basilport.error.BasilportException;
import org.basilport.error.ConflictException;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.event.EventSink;
import org.basilport.platform.ObjectStore;
import org.basilport.store.InMemoryObjectStore;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PlatformConfigurationStoreTest {
  private final InMemoryObjectStore platform = new InMemoryObjectStore();
  private final PlatformConfigurationStore store =
      new PlatformConfigurationStore(platform, () -> Instant.EPOCH, EventSink.none());

  static Deployment deployment(String site) {
    return new Deployment(site, List.of(), List.of(), List.of(), List.of());
  }

  private static ConfigurationChange change(String applyId, long expected, String site) {
    return new ConfigurationChange(applyId, "author-" + applyId, expected, deployment(site));
  }

  private static BasilportException failure(CompletableFuture<?> result) {
    CompletionException thrown = assertThrows(CompletionException.class, result::join);
    return BasilportException.unwrap(thrown, Outcome.MAY_HAVE_RUN, Step.CONFIGURE);
  }

  @Nested
  class Acceptance {
    @Test
    void conflictNamesNumberAndAuthor() {
      assertThat(store.accept(change("a", 0, "one")).join().number()).isEqualTo(1);
      BasilportException conflict = failure(store.accept(change("b", 0, "two")));
      assertThat(conflict).isInstanceOf(ConflictException.class);
      assertThat(conflict).hasMessageThat().contains("configuration 1 of author-a is in force");
      assertThat(store.accept(change("b", -1, "two")).join().number()).isEqualTo(2);
      assertThat(store.history().join().stream().map(HistoryEntry::applyId).toList())
          .containsExactly("b", "a")
          .inOrder();
    }

    // Guards against a retried change that gets a second number or reverts a later change.
    @Test
    void repeatedApplyIdKeepsItsNumber() {
      store.accept(change("a", -1, "one")).join();
      store.accept(change("b", -1, "two")).join();
      assertThat(store.accept(change("a", -1, "one")).join().number()).isEqualTo(1);
      assertThat(store.latest().join().orElseThrow().deployment().site()).isEqualTo("two");
      assertThat(failure(store.accept(change("a", -1, "three"))))
          .isInstanceOf(ConflictException.class);
    }

    @Test
    void concurrentAppliesOfOneNumberAcceptExactlyOne() {
      CompletableFuture<Long> heldWrite = platform.holdNextWrite("config/head");
      CompletableFuture<AcceptedConfiguration> first = store.accept(change("a", 0, "one"));
      CompletableFuture<AcceptedConfiguration> second = store.accept(change("b", 0, "two"));
      heldWrite.complete(0L);
      assertThat(second.join().number()).isEqualTo(1);
      assertThat(failure(first)).isInstanceOf(ConflictException.class);
    }
  }

  @Nested
  class LostResponses {
    // Guards against a second acceptance after the response to an effective write was lost.
    @Test
    void writeThatTookEffectIsRecognised() {
      platform.loseNextResponse("config/head", true);
      assertThat(store.accept(change("a", 0, "one")).join().number()).isEqualTo(1);
      assertThat(store.history().join()).hasSize(1);
    }

    @Test
    void writeThatWasLostIsSentAgain() {
      platform.loseNextResponse("config/head", false);
      assertThat(store.accept(change("a", 0, "one")).join().number()).isEqualTo(1);
    }

    @Test
    void outageAfterTheWriteLeavesItUndecided() {
      platform.loseNextResponse("config/head", true);
      platform.failAfterLostResponse();
      assertThat(failure(store.accept(change("a", 0, "one"))).outcome())
          .isEqualTo(Outcome.MAY_HAVE_RUN);
      platform.outage(false);
      assertThat(store.accept(change("a", 0, "one")).join().number()).isEqualTo(1);
    }
  }

  // Guards against an object that exceeds the platform's size limit.
  @Test
  void largeConfigurationIsSplit() {
    List<Workspace> workspaces =
        java.util.stream.IntStream.range(0, 12_000)
            .mapToObj(i -> new Workspace("workspace-" + i, "0".repeat(64), 1, 1, 1))
            .toList();
    Deployment large = new Deployment("s", List.of(), List.of(), workspaces, List.of());
    store.accept(new ConfigurationChange("a", "x", -1, large)).join();
    assertThat(platform.largestValueBytes()).isAtMost(ObjectStore.MAX_VALUE_BYTES);
    assertThat(platform.list("config/part/").join().size()).isAtLeast(2);
    assertThat(store.latest().join().orElseThrow().deployment()).isEqualTo(large);
  }
}
