package org.basilport.daemon;

import java.util.List;

/**
 * Events of several instances.
 *
 * @param entries events, oldest first
 * @param missing ids of instances that did not answer
 */
public record MergedTimeline(List<Entry> entries, List<String> missing) {

  /**
   * One event.
   *
   * @param hybridTime stamp of the hybrid logical clock
   * @param millis milliseconds since the epoch
   * @param instanceId instance that recorded it
   * @param number number of the event type
   * @param requestId request or generation, else empty
   * @param workspace workspace, else empty
   * @param serverId backend server, else empty
   * @param text message
   */
  public record Entry(
      long hybridTime,
      long millis,
      String instanceId,
      int number,
      String requestId,
      String workspace,
      String serverId,
      String text) {}
}
