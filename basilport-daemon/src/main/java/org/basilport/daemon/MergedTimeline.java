package org.basilport.daemon;

import java.util.List;

/**
 * Events of several instances, merged into one timeline.
 *
 * @param entries events, oldest first
 * @param missing ids of instances that did not respond
 */
public record MergedTimeline(List<Entry> entries, List<String> missing) {

  /**
   * One event.
   *
   * @param hybridTime timestamp of the hybrid logical clock
   * @param millis physical time of the event, in milliseconds since the epoch
   * @param instanceId instance that recorded the event
   * @param number number of the event type
   * @param requestId id of the request or generation, or empty
   * @param workspace name of the workspace, or empty
   * @param serverId id of the backend server, or empty
   * @param text message text
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
