package org.basilport.bench.policy;

import java.util.List;
import org.basilport.policy.GenerationClass;

/** A model service with its replicas and the traffic that it receives. */
public enum Deployment {
  /** Streamed traffic only: long descriptions and short answers. */
  GEO_LLM(
      "geo-llm",
      8,
      List.of(
          new Route("describe", GenerationClass.STREAMED, 0.3, 1_200, 0.6, 700, 1.0, 24_000, 600),
          new Route("ask", GenerationClass.STREAMED, 0.7, 150, 0.6, 40, 0.9, 4_000, 200))),
  /** Long deferred summaries and short streamed tags. */
  LEDGER_SCRIBE(
      "ledger-scribe",
      10,
      List.of(
          new Route("summary", GenerationClass.DEFERRED, 0.4, 2_000, 0.5, 1_500, 0.9, 30_000, 500),
          new Route("tag", GenerationClass.STREAMED, 0.6, 200, 0.5, 8, 0.5, 200, 300)));

  private final String service;
  private final int replicas;
  private final List<Route> routes;

  Deployment(String service, int replicas, List<Route> routes) {
    this.service = service;
    this.replicas = replicas;
    this.routes = routes;
  }

  /** Returns the name of the model service, as used in reports and options. */
  public String service() {
    return service;
  }

  public int replicas() {
    return replicas;
  }

  List<Route> routes() {
    return routes;
  }
}
