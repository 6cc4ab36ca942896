package org.basilport.daemon.http;

import com.codahale.metrics.Metered;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Map;
import java.util.TreeMap;

/**
 * JSON body with all metrics of an instance; durations of timers are in seconds.
 *
 * @param gauges current values
 * @param counters counts
 * @param meters event counts and their rates
 * @param distributions counts and quantiles of histograms and timers
 */
record MetricsBody(
    Map<String, Object> gauges,
    Map<String, Long> counters,
    Map<String, Rate> meters,
    Map<String, Distribution> distributions) {
  private static final double NANOS_PER_SECOND = 1e9;

  static MetricsBody of(MetricRegistry registry) {
    MetricsBody body =
        new MetricsBody(new TreeMap<>(), new TreeMap<>(), new TreeMap<>(), new TreeMap<>());
    registry.getGauges().forEach((name, gauge) -> body.gauges.put(name, gauge.getValue()));
    registry.getCounters().forEach((name, counter) -> body.counters.put(name, counter.getCount()));
    registry.getMeters().forEach((name, meter) -> body.meters.put(name, Rate.of(meter)));
    registry
        .getHistograms()
        .forEach(
            (name, histogram) ->
                body.distributions.put(name, Distribution.of(histogram.getCount(), histogram, 1)));
    registry.getTimers().forEach((name, timer) -> body.distributions.put(name, of(timer)));
    return body;
  }

  private static Distribution of(Timer timer) {
    return Distribution.of(timer.getCount(), timer, NANOS_PER_SECOND);
  }

  /** Number of events and their rates over one and fifteen minutes, per second. */
  record Rate(long count, double oneMinuteRate, double fifteenMinuteRate) {
    static Rate of(Metered meter) {
      return new Rate(meter.getCount(), meter.getOneMinuteRate(), meter.getFifteenMinuteRate());
    }
  }

  /** Number of values and their quantiles. */
  record Distribution(long count, double p50, double p95, double p99, double max) {
    static Distribution of(long count, Sampling sampling, double divisor) {
      Snapshot snapshot = sampling.getSnapshot();
      return new Distribution(
          count,
          snapshot.getMedian() / divisor,
          snapshot.get95thPercentile() / divisor,
          snapshot.get99thPercentile() / divisor,
          snapshot.getMax() / divisor);
    }
  }
}
