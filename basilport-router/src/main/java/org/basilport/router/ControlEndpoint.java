package org.basilport.router;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.basilport.config.ConfigurationPropagation;
import org.basilport.event.Event;
import org.basilport.event.HybridLogicalClock;
import org.basilport.event.Timeline;
import org.basilport.misc.Scheduler;
import org.basilport.peer.GossipExchange;
import org.basilport.peer.PeerClient;
import org.basilport.protocol.ConfigurationMessage;
import org.basilport.protocol.DrainReply;
import org.basilport.protocol.DrainRequest;
import org.basilport.protocol.FetchConfigurationRequest;
import org.basilport.protocol.GossipMessage;
import org.basilport.protocol.IsolationReply;
import org.basilport.protocol.IsolationRequest;
import org.basilport.protocol.TimelineEntry;
import org.basilport.protocol.TimelineMessage;
import org.basilport.protocol.TimelineQuery;
import org.basilport.quarantine.IsolationHandler;

/** What an instance answers to its peers; every call is handled on the control thread. */
final class ControlEndpoint implements PeerClient {
  private static final int MAX_TIMELINE_ENTRIES = 10_000;

  private final Scheduler control;
  private final GossipExchange gossip;
  private final ConfigurationPropagation configuration;
  private final Timeline timeline;
  private final IsolationHandler isolation;
  private final Consumer<String> onDrain;

  ControlEndpoint(
      Scheduler control,
      GossipExchange gossip,
      ConfigurationPropagation configuration,
      Timeline timeline,
      IsolationHandler isolation,
      Consumer<String> onDrain) {
    this.control = control;
    this.gossip = gossip;
    this.configuration = configuration;
    this.timeline = timeline;
    this.isolation = isolation;
    this.onDrain = onDrain;
  }

  @Override
  public CompletableFuture<GossipMessage> exchange(GossipMessage message) {
    return onControl(() -> gossip.answer(message));
  }

  @Override
  public CompletableFuture<ConfigurationMessage> fetchConfiguration(
      FetchConfigurationRequest request) {
    return onControl(() -> configuration.answer(request));
  }

  @Override
  public CompletableFuture<TimelineMessage> fetchTimeline(TimelineQuery query) {
    return onControl(() -> timeline(query));
  }

  @Override
  public CompletableFuture<IsolationReply> acquireIsolation(IsolationRequest request) {
    return onControl(() -> isolation.acquire(request));
  }

  @Override
  public CompletableFuture<IsolationReply> releaseIsolation(IsolationRequest request) {
    return onControl(() -> isolation.release(request));
  }

  @Override
  public CompletableFuture<DrainReply> drain(DrainRequest request) {
    return onControl(
        () -> {
          onDrain.accept(request.getReason());
          return DrainReply.newBuilder().setAccepted(true).build();
        });
  }

  private <T> CompletableFuture<T> onControl(Supplier<T> action) {
    return CompletableFuture.supplyAsync(action, control);
  }

  private TimelineMessage timeline(TimelineQuery query) {
    int limit =
        query.getLimit() > 0
            ? Math.min(query.getLimit(), MAX_TIMELINE_ENTRIES)
            : MAX_TIMELINE_ENTRIES;
    List<Event> events = timeline.events(event -> matches(event, query), limit);
    TimelineMessage.Builder message = TimelineMessage.newBuilder();
    events.forEach(event -> message.addEntries(entry(event)));
    return message.build();
  }

  private static boolean matches(Event event, TimelineQuery query) {
    long millis = HybridLogicalClock.millis(event.hybridTime());
    return matches(query.getRequestId(), event.subject().requestId())
        && matches(query.getWorkspace(), event.subject().workspace())
        && matches(query.getServerId(), event.subject().serverId())
        && millis >= query.getFromMillis()
        && (query.getToMillis() == 0 || millis <= query.getToMillis());
  }

  private static boolean matches(String wanted, String actual) {
    return wanted.isEmpty() || wanted.equals(actual);
  }

  private static TimelineEntry entry(Event event) {
    return TimelineEntry.newBuilder()
        .setHybridTime(event.hybridTime())
        .setInstanceId(event.instanceId())
        .setEventNumber(event.type().number())
        .setRequestId(event.subject().requestId())
        .setWorkspace(event.subject().workspace())
        .setServerId(event.subject().serverId())
        .setText(event.text())
        .build();
  }
}
