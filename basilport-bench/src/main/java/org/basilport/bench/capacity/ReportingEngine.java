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

/** Engine that only reports a constant load and counts the requests for reports. */
final class ReportingEngine implements ModelEngine {
  /** 380,000 tokens per second on 600 replicas with 43 ms between tokens. */
  private static final int RUNNING_GENERATIONS = 27;

  private final EngineReport engineReport = createReport();
  private final int reportBytes = jsonBytes(engineReport);
  private long reports;

  /** Returns the number of requested reports. */
  long reports() {
    return reports;
  }

  /** Returns the size of a report as JSON without HTTP headers, in bytes. */
  int reportBytes() {
    return reportBytes;
  }

  @Override
  public CompletableFuture<EngineReport> report() {
    reports++;
    return CompletableFuture.completedFuture(engineReport);
  }

  @Override
  public TokenStream generate(EngineRequest request, TokenListener listener) {
    throw new UnsupportedOperationException(
        "generations are not supported; the control plane only reads reports");
  }

  @Override
  public TokenStream resume(String generationId, long offset, TokenListener listener) {
    throw new UnsupportedOperationException(
        "resuming is not supported; the control plane only reads reports");
  }

  @Override
  public CompletableFuture<Boolean> cancel(String generationId, boolean onlyIfUnattached) {
    return CompletableFuture.completedFuture(false);
  }

  @Override
  public CompletableFuture<Void> order(EngineOrder order) {
    return CompletableFuture.completedFuture(null);
  }

  private static EngineReport createReport() {
    List<RunningGeneration> running = new ArrayList<>();
    for (int i = 0; i < RUNNING_GENERATIONS; i++) {
      String id = "entry-123-1772438400000-" + (100_000 + i) + "-1";
      running.add(new RunningGeneration(id, "workspace-" + (1_000 + i), 2_000, 500, 0));
    }
    return new EngineReport(
        1, false, 400_000, 54_000, 0, 12, 31.5, List.of("model-1"), running, 123_456);
  }

  private static int jsonBytes(EngineReport report) {
    try {
      return new ObjectMapper().writeValueAsBytes(report).length;
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot encode the engine report as JSON", e);
    }
  }
}
