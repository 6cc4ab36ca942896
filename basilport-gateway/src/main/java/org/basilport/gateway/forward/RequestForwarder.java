package org.basilport.gateway.forward;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.basilport.error.Step;
import org.basilport.event.EventSink;
import org.basilport.event.EventSubject;
import org.basilport.gateway.config.ForwardingConfiguration;
import org.basilport.gateway.config.ForwardingRoute;
import org.basilport.gateway.config.KeyHolder;
import org.basilport.gateway.frontend.CallerConnectionListener;
import org.basilport.gateway.frontend.RequestHandler;
import org.basilport.gateway.message.CallerRequest;
import org.basilport.gateway.message.GenerationSize;
import org.basilport.gateway.message.MalformedMessageException;
import org.basilport.gateway.message.MessageCodec;
import org.basilport.policy.dispatch.DrainAdmission;
import org.basilport.policy.dispatch.ResponseBufferBudget;

/** Validates each request against the applied configuration and starts its exchange. */
public final class RequestForwarder implements RequestHandler {
  /**
   * Retry-After value of a rejection because the configuration is missing or not proven to be the
   * latest; another instance may have a proven one by then.
   */
  private static final double UNPROVEN_RETRY_AFTER_SECONDS = 0.5;

  /**
   * Retry-After value of a rejection by a stopping instance; the caller then connects to another
   * one.
   */
  private static final double STOPPING_RETRY_AFTER_SECONDS = 0.1;

  /**
   * Delay before a request is sent that was read right after a pause of the process. If its caller
   * left meanwhile, the end of the connection is read within this time.
   */
  private static final long START_DELAY_MILLIS = 10;

  private static final String STOPPING = "instance is stopping";

  /** Share of the heap that response bodies may use until they are complete. */
  private static final double RESPONSE_BUFFER_SHARE = 0.2;

  private final ForwardingContext context;
  private final Set<Exchange> openRequests = new HashSet<>();
  private boolean draining;
  private long cutoffNanos;

  /**
   * Creates a forwarder.
   *
   * @param limits limits on proofs and on gaps between events
   * @param homeRegions regions of requests and servers
   */
  public RequestForwarder(
      EventLoop eventLoop,
      MessageCodec codec,
      ForwardingState state,
      EventSink events,
      MetricRegistry metrics,
      ForwardingLimits limits,
      HomeRegions homeRegions) {
    ResponseBufferBudget responseBuffer =
        new ResponseBufferBudget(
            Math.round(RESPONSE_BUFFER_SHARE * Runtime.getRuntime().maxMemory()));
    this.context =
        new ForwardingContext(
            eventLoop,
            codec,
            state,
            events,
            metrics,
            new SplittableRandom(),
            responseBuffer,
            limits,
            homeRegions);
    metrics.gauge("forward.buffered_bytes", () -> responseBuffer::usedBytes);
  }

  @Override
  public CallerConnectionListener receive(HttpRequest head, byte[] body, ResponseChannel caller) {
    context.metrics().counter("forward.requests").inc();
    CallerRequest request;
    try {
      request = context.codec().decodeRequest(head, body);
    } catch (MalformedMessageException e) {
      return reject("", 400, Step.LOCATE, e.getMessage(), caller);
    }
    Optional<ForwardingConfiguration> current = context.state().configuration();
    if (current.isEmpty()) {
      return reject(request.id(), 503, Step.CONFIGURE, "no configuration yet", caller);
    }
    if (!context.state().evacuations().known()) {
      return reject(
          request.id(), 503, Step.CONFIGURE, "evacuated data centres are not known yet", caller);
    }
    ForwardingConfiguration configuration = current.get();
    Optional<ForwardingRoute> route = configuration.route(request.host(), request.path());
    if (route.isEmpty()) {
      return rejectByConfiguration(request, 404, "no route", caller);
    }
    Optional<KeyHolder> holder = request.accessKey().flatMap(configuration::keyHolder);
    if (configuration.keysRequired() && !route.get().anonymous()) {
      if (holder.isEmpty()) {
        return rejectByConfiguration(request, 401, "unknown key", caller);
      }
      if (!configurationProven()) {
        return reject(request.id(), 503, Step.AUTHENTICATE, "key cannot be proven valid", caller);
      }
    }
    if (endsAfterCutoff(request, route.get())) {
      return reject(request.id(), 503, Step.ADMIT, STOPPING, caller);
    }
    return startExchange(request, route.get(), holder, caller);
  }

  private boolean configurationProven() {
    return context.state().proofAgeMillis() <= context.limits().maxProofAge().toMillis();
  }

  /**
   * Replaces the status by 503 if the configuration may be outdated, so that the caller retries.
   */
  private CallerConnectionListener rejectByConfiguration(
      CallerRequest request, int status, String reason, ResponseChannel caller) {
    int statusOr503 = configurationProven() ? status : 503;
    return reject(request.id(), statusOr503, Step.AUTHENTICATE, reason, caller);
  }

  private CallerConnectionListener reject(
      String id, int status, Step step, String reason, ResponseChannel caller) {
    context.metrics().counter("forward.answers." + status).inc();
    context.recordRejection(
        EventSubject.request(id, ""), id, status, step, reason, context.state().queueLength());
    HttpHeaders headers = new DefaultHttpHeaders();
    if (status == 503) {
      context
          .codec()
          .addRetryAfter(
              headers, draining ? STOPPING_RETRY_AFTER_SECONDS : UNPROVEN_RETRY_AFTER_SECONDS);
    }
    caller.sendReason(status, headers, reason);
    return CallerConnectionListener.NONE;
  }

  private CallerConnectionListener startExchange(
      CallerRequest request,
      ForwardingRoute route,
      Optional<KeyHolder> holder,
      ResponseChannel caller) {
    Exchange exchange;
    if (route.repeatability().streamed()) {
      exchange = new StreamedExchange(context, request, route, holder, caller);
    } else {
      exchange = new BufferedExchange(context, request, route, holder, caller);
    }
    openRequests.add(exchange);
    exchange.onEnd(() -> openRequests.remove(exchange));
    if (context.state().paused()) {
      context.eventLoop().schedule(exchange::start, START_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      exchange.start();
    }
    return exchange;
  }

  /** Number of requests in progress. */
  public int openRequests() {
    return openRequests.size();
  }

  /**
   * Closes each connection of a caller after its next response.
   *
   * @param untilCutoff time after which {@link #endDrain()} is called at the latest
   */
  public void drain(Duration untilCutoff) {
    draining = true;
    cutoffNanos = System.nanoTime() + untilCutoff.toNanos();
  }

  /**
   * Forwards no further request and ends those in progress: rejects them if they certainly have not
   * run, and fails them otherwise.
   */
  public void endDrain() {
    cutoffNanos = System.nanoTime();
    List<Exchange> remaining = new ArrayList<>(openRequests);
    // A queued request would be sent to the server that another one releases.
    remaining.sort(Comparator.comparing(exchange -> exchange.server != null));
    for (Exchange exchange : remaining) {
      if (exchange.connection != null) {
        exchange.connection.abandon();
      }
      exchange.reject(Step.ADMIT, STOPPING);
    }
  }

  /** Whether a request could still be in progress when this instance stops. */
  private boolean endsAfterCutoff(CallerRequest request, ForwardingRoute route) {
    if (!draining) {
      return false;
    }
    long remaining = cutoffNanos - System.nanoTime();
    Duration timeLimit = route.timeLimit(request.callerTimeout());
    if (!route.repeatability().streamed()) {
      return !DrainAdmission.acceptsCall(remaining, timeLimit);
    }
    OptionalInt output =
        request.generationSize().stream().mapToInt(GenerationSize::maxOutputTokens).findFirst();
    return !DrainAdmission.acceptsStream(
        remaining, timeLimit, output, route.repeatability().repeatable());
  }

  @Override
  public boolean draining() {
    return draining;
  }
}
