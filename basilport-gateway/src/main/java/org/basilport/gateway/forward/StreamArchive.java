package org.basilport.gateway.forward;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Knowledge about streams that outlives the instances. Safe to call from any thread; failures
 * complete the futures exceptionally with {@link org.basilport.error.UnavailableException}.
 */
public interface StreamArchive {
  /** Archive that keeps nothing. */
  StreamArchive NONE =
      new StreamArchive() {
        @Override
        public void save(Map<Long, String> versionsByStream) {}

        @Override
        public CompletableFuture<Map<Long, String>> readStreams() {
          return CompletableFuture.completedFuture(Map.of());
        }

        @Override
        public CompletableFuture<Map<Long, String>> readFormerStreams() {
          return readStreams();
        }

        @Override
        public CompletableFuture<StoredVersions> readVersions() {
          return CompletableFuture.completedFuture(new StoredVersions(List.of(), Map.of(), 0));
        }
      };

  /** Replaces the streams that this instance saved. */
  void save(Map<Long, String> versionsByStream);

  /** Reads the software versions of the streams of all instances, by key of the stream. */
  CompletableFuture<Map<Long, String>> readStreams();

  /** Reads the streams that this instance has saved, before or after its start. */
  CompletableFuture<Map<Long, String>> readFormerStreams();

  /** Reads which versions serve and which have served recently. */
  CompletableFuture<StoredVersions> readVersions();
}
