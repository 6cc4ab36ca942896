package org.basilport.bench.capacity;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.basilport.engine.EngineOrder;
import org.basilport.engine.EngineReport;
import org.basilport.engine.EngineRequest;
import org.basilport.engine.ModelEngine;
import org.basilport.engine.RunningGeneration;
import org.basilport.engine.TokenListener;
import org.basilport.engine.TokenStream;

/** An engine that only reports its load, and counts how often it is asked. */
final class ReportingEngine implements ModelEngine {
  /** 380,000 tokens a second, 43 ms between tokens, 600 replicas. */
  private static final int RUNNING_GENERATIONS = 27;

  private final EngineReport load = load();
  private final int reportBytes = size(load);
  private long reports;

  /** Number of reports that were asked for. */
  long reports() {
    return reports;
  }

  /** Size of a report as JSON, in bytes, without HTTP headers. */
  int reportBytes() {
    return reportBytes;
  }

  @Override
  public CompletableFuture<EngineReport> report() {
    reports++;
    return CompletableFuture.completedFuture(load);
  }

  @Override
  public TokenStream generate(EngineRequest request, TokenListener listener) {
    throw new UnsupportedOperationException("the control plane starts no generations");
  }

  @Override
  public TokenStream resume(String generationId, long offset, TokenListener listener) {
    throw new UnsupportedOperationException("the control plane reads no generations");
  }

  @Override
  public CompletableFuture<Boolean> cancel(String generationId, boolean onlyIfUnattached) {
    return CompletableFuture.completedFuture(false);
  }

  @Override
  public CompletableFuture<Void> order(EngineOrder order) {
    return CompletableFuture.completedFuture(null);
  }

  private static EngineReport load() {
    List<RunningGeneration> running = new ArrayList<>();
    for (int i = 0; i < RUNNING_GENERATIONS; i++) {
      String id = "entry-123-1772438400000-" + (100_000 + i) + "-1";
      running.add(new RunningGeneration(id, "workspace-" + (1_000 + i), 2_000, 500, 0));
    }
    return new EngineReport(
        1, false, 400_000, 54_000, 0, 12, 31.5, List.of("model-1"), running, 123_456);
  }

  private static int size(EngineReport report) {
    try {
      return new ObjectMapper().writeValueAsBytes(report).length;
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a report always has a JSON form", e);
    }
  }
}
