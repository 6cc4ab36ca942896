package org.basilport.event;

/**
 * What an event is about; each part is empty when it does not apply.
 *
 * @param requestId request or generation id
 * @param workspace workspace name
 * @param serverId backend server id
 */
public record EventSubject(String requestId, String workspace, String serverId) {

  /** An event about the instance itself. */
  public static final EventSubject NONE = new EventSubject("", "", "");

  /** An event about a request of a workspace. */
  public static EventSubject request(String requestId, String workspace) {
    return new EventSubject(requestId, workspace, "");
  }

  /** An event about a backend server. */
  public static EventSubject server(String serverId) {
    return new EventSubject("", "", serverId);
  }

  /** The same subject at a backend server. */
  public EventSubject withServer(String server) {
    return new EventSubject(requestId, workspace, server);
  }
}
