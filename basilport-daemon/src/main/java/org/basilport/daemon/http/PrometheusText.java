package org.basilport.daemon.http;

import com.codahale.metrics.MetricRegistry;

/** Writes all metrics in the Prometheus text format, version 0.0.4. */
final class PrometheusText {
  private static final String PREFIX = "basilport_";

  private final StringBuilder text = new StringBuilder();

  private PrometheusText() {}

  static String format(MetricRegistry registry) {
    MetricsBody body = MetricsBody.of(registry);
    PrometheusText writer = new PrometheusText();
    body.gauges().forEach(writer::gauge);
    body.counters().forEach((name, count) -> writer.sample(name, "counter", count));
    body.meters().forEach((name, rate) -> writer.sample(name, "counter", rate.count()));
    body.distributions().forEach(writer::summary);
    return writer.text.toString();
  }

  private void gauge(String name, Object value) {
    if (value instanceof Number) {
      sample(name, "gauge", (Number) value);
    }
  }

  private void sample(String name, String type, Number value) {
    String metric = metricName(name) + (type.equals("counter") ? "_total" : "");
    text.append("# TYPE ").append(metric).append(' ').append(type).append('\n');
    text.append(metric).append(' ').append(value).append('\n');
  }

  private void summary(String name, MetricsBody.Distribution distribution) {
    String metric = metricName(name);
    text.append("# TYPE ").append(metric).append(" summary\n");
    quantile(metric, "0.5", distribution.p50());
    quantile(metric, "0.95", distribution.p95());
    quantile(metric, "0.99", distribution.p99());
    text.append(metric).append("_count ").append(distribution.count()).append('\n');
  }

  private void quantile(String metric, String quantile, double value) {
    text.append(metric).append("{quantile=\"").append(quantile).append("\"} ");
    text.append(value).append('\n');
  }

  private static String metricName(String name) {
    return PREFIX + name.replaceAll("[^a-zA-Z0-9_]", "_");
  }
}
