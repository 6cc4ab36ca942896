package org.basilport.gateway.forward;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.basilport.gateway.config.PlacementRules;
import org.basilport.gateway.message.ServerResponse;
import org.basilport.policy.dispatch.EarliestFirstTokenSelector;
import org.basilport.policy.dispatch.LeastOccupiedSelector;
import org.basilport.policy.dispatch.MeanDuration;
import org.basilport.policy.dispatch.PeerReportAges;
import org.basilport.policy.dispatch.ServerLoad;
import org.basilport.policy.dispatch.ServerSelector;
import org.basilport.policy.dispatch.ServerSpeed;
import org.basilport.policy.dispatch.StaleWorkSelector;
import org.basilport.policy.dispatch.UsualResponseTime;

/**
 * What an instance knows of the age of the peers' reports and of the speed of the servers, for
 * deployments whose load is shared. Confined to the event loop thread.
 */
public final class LoadSharing {
  /**
   * Mean age of heartbeats above which application servers are chosen by known work alone. Their
   * calls take some 10 ms; with reports of 2 s, callers wait longer for a random choice.
   */
  private static final long MAX_HEARTBEAT_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_300);

  /** Prefix that tells times per prompt token from response times of routes. */
  private static final String FIRST_TOKEN = "first token of ";

  private final SplittableRandom random;
  private final PeerReportAges reportAges = new PeerReportAges();
  private final UsualResponseTime usualTimes = new UsualResponseTime();
  private final Map<String, MeanDuration> durations = new HashMap<>();
  private final Histogram figureAgeMillis;
  private final Histogram speedPercent;
  private final Counter randomChoices;

  private LoadSharing(MetricRegistry metrics, SplittableRandom random) {
    this.random = random;
    this.figureAgeMillis = metrics.histogram("load.figure_age_ms");
    this.speedPercent = metrics.histogram("load.speed_percent");
    this.randomChoices = metrics.counter("load.random_choices");
  }

  /** The knowledge of a new instance; empty where the rules do not ask for shared load. */
  public static Optional<LoadSharing> of(
      PlacementRules rules, MetricRegistry metrics, SplittableRandom random) {
    return rules.sharesLoad() ? Optional.of(new LoadSharing(metrics, random)) : Optional.empty();
  }

  /** Records a report of another instance, also if its work has not changed. */
  void recordReport(String instance) {
    reportAges.record(instance, System.nanoTime());
  }

  /** Selector of the engines of a service, whose work is reported at each change. */
  ServerSelector engines(String service, EarliestFirstTokenSelector bounds) {
    return new StaleWorkSelector(
        bounds, reportAges::changeNanos, duration(service)::nanos, this::onChoice, random);
  }

  /** Selector of the application servers of a service, whose work is reported with heartbeats. */
  ServerSelector applicationServers(String service, LeastOccupiedSelector bounds) {
    ServerSelector selector =
        new StaleWorkSelector(
            bounds, reportAges::heartbeatNanos, duration(service)::nanos, this::onChoice, random);
    return StaleWorkSelector.upTo(
        MAX_HEARTBEAT_AGE_NANOS, reportAges::heartbeatNanos, selector, bounds);
  }

  private MeanDuration duration(String service) {
    return durations.computeIfAbsent(service, name -> new MeanDuration());
  }

  private void onChoice(long ageNanos, boolean random) {
    figureAgeMillis.update(TimeUnit.NANOSECONDS.toMillis(ageNanos));
    if (random) {
      randomChoices.inc();
    }
  }

  /** Records the slowdown that a server states in the head of a response of its own. */
  void recordHead(ServerLoad server, ServerResponse response) {
    if (response.signed()) {
      long now = System.nanoTime();
      response.slowdownPercent().ifPresent(slow -> server.speed().observeSlowdown(slow, now));
    }
  }

  /** Records the time from sending a request to the end of its response. */
  void recordEnd(String service, long elapsedNanos) {
    duration(service).record(elapsedNanos);
  }

  /** Records the time to the first token for the speed of an engine. */
  void recordFirstToken(
      String service, ServerLoad server, long elapsedNanos, long prefillTokensWhenSent) {
    if (prefillTokensWhenSent > 0) {
      recordTime(server, FIRST_TOKEN + service, (double) elapsedNanos / prefillTokensWhenSent);
    }
  }

  /**
   * Records a response time for the speed of a server.
   *
   * @param kind kind of requests that usually take the same time
   */
  void recordTime(ServerLoad server, String kind, double time) {
    long now = System.nanoTime();
    ServerSpeed speed = server.speed();
    speed.observeTime(usualTimes.relative(kind, speed.withoutSlowdown(time, now)), now);
    speedPercent.update(Math.round(100 * speed.longTerm(now)));
  }
}
