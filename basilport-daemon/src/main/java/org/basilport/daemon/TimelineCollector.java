package org.basilport.daemon;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.basilport.event.HybridLogicalClock;
import org.basilport.membership.Member;
import org.basilport.membership.MemberHealth;
import org.basilport.membership.MembershipView;
import org.basilport.peer.PeerClient;
import org.basilport.peer.PeerConnector;
import org.basilport.protocol.TimelineEntry;
import org.basilport.protocol.TimelineMessage;
import org.basilport.protocol.TimelineQuery;

/** Merges the timelines of all instances in the order of the hybrid logical clock. */
public final class TimelineCollector {
  private static final long PEER_TIMEOUT_MILLIS = 2_000;

  private final MembershipView membership;
  private final PeerClient self;
  private final PeerConnector peers;

  /**
   * Creates a collector.
   *
   * @param self local endpoint of this instance, called directly
   */
  public TimelineCollector(MembershipView membership, PeerClient self, PeerConnector peers) {
    this.membership = membership;
    this.self = self;
    this.peers = peers;
  }

  /**
   * Collects the matching entries of all members that are not considered dead. Members that fail or
   * time out are listed in {@link MergedTimeline#missing}.
   */
  public CompletableFuture<MergedTimeline> collect(TimelineQuery query) {
    String ownId = membership.self().id();
    List<CompletableFuture<InstanceTimeline>> timelines = new ArrayList<>();
    for (Member member : membership.members()) {
      if (member.health() != MemberHealth.DEAD || member.id().equals(ownId)) {
        PeerClient client = member.id().equals(ownId) ? self : peers.connect(member.peerAddress());
        timelines.add(fetch(member.id(), client, query));
      }
    }
    return CompletableFuture.allOf(timelines.toArray(CompletableFuture[]::new))
        .thenApply(done -> merge(timelines.stream().map(CompletableFuture::join).toList(), query));
  }

  private static CompletableFuture<InstanceTimeline> fetch(
      String instanceId, PeerClient client, TimelineQuery query) {
    return client
        .fetchTimeline(query)
        .orTimeout(PEER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .handle((message, failure) -> new InstanceTimeline(instanceId, message));
  }

  private static MergedTimeline merge(List<InstanceTimeline> timelines, TimelineQuery query) {
    List<String> missing =
        timelines.stream()
            .filter(timeline -> timeline.message == null)
            .map(InstanceTimeline::instanceId)
            .toList();
    List<MergedTimeline.Entry> entries =
        timelines.stream()
            .filter(timeline -> timeline.message != null)
            .flatMap(timeline -> timeline.message.getEntriesList().stream())
            .sorted(Comparator.comparingLong(TimelineEntry::getHybridTime))
            .map(TimelineCollector::toEntry)
            .toList();
    int firstIndex = Math.max(0, entries.size() - query.getLimit());
    return new MergedTimeline(List.copyOf(entries.subList(firstIndex, entries.size())), missing);
  }

  private static MergedTimeline.Entry toEntry(TimelineEntry entry) {
    return new MergedTimeline.Entry(
        entry.getHybridTime(),
        HybridLogicalClock.millis(entry.getHybridTime()),
        entry.getInstanceId(),
        entry.getEventNumber(),
        entry.getRequestId(),
        entry.getWorkspace(),
        entry.getServerId(),
        entry.getText());
  }

  private record InstanceTimeline(String instanceId, TimelineMessage message) {}
}
