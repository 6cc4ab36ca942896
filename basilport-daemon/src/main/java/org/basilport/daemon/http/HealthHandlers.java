package org.basilport.daemon.http;

import com.codahale.metrics.MetricRegistry;
import org.basilport.config.AcceptedConfiguration;
import org.basilport.router.Readiness;
import org.basilport.router.Router;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/** Health, readiness and metrics, which need no key. */
final class HealthHandlers {
  private static final int UNAVAILABLE = 503;

  private final Router router;
  private final MetricRegistry metrics;
  private final RequestReader reader;
  private final Responder responder;

  HealthHandlers(Router router, MetricRegistry metrics, RequestReader reader, Responder responder) {
    this.router = router;
    this.metrics = metrics;
    this.reader = reader;
    this.responder = responder;
  }

  void addTo(Chain chain) {
    chain
        .get("healthz", context -> responder.send(context, new HealthBody("alive")))
        .get("readyz", this::readiness)
        .get("metrics", this::metrics);
  }

  private void readiness(Context context) {
    Readiness readiness = router.readiness();
    boolean ready = readiness == Readiness.SERVING || readiness == Readiness.STALE_CONFIGURATION;
    long number = router.configuration().current().map(AcceptedConfiguration::number).orElse(0L);
    responder.send(
        context, ready ? Responder.OK : UNAVAILABLE, new ReadinessBody(readiness, number));
  }

  private void metrics(Context context) {
    boolean json = reader.parameter(context, "format").equals("json");
    if (json) {
      responder.send(context, MetricsBody.of(metrics));
    } else {
      context.getResponse().send("text/plain; version=0.0.4", PrometheusText.format(metrics));
    }
  }

  /** Answer of the health call. */
  record HealthBody(String status) {}

  /** Readiness and the number of the configuration in force, 0 when there is none. */
  record ReadinessBody(Readiness readiness, long configurationNumber) {}
}
