package org.basilport.event;

/**
 * Subject of an event; parts that do not apply are empty.
 *
 * @param requestId id of the request or generation
 * @param workspace name of the workspace
 * @param serverId id of the backend server
 */
public record EventSubject(String requestId, String workspace, String serverId) {

  /** Subject of an event about the instance itself. */
  public static final EventSubject NONE = new EventSubject("", "", "");

  /** Returns the subject of an event about a request of a workspace. */
  public static EventSubject request(String requestId, String workspace) {
    return new EventSubject(requestId, workspace, "");
  }

  /** Returns the subject of an event about a backend server. */
  public static EventSubject server(String serverId) {
    return new EventSubject("", "", serverId);
  }

  /** Returns this subject with a backend server. */
  public EventSubject withServer(String server) {
    return new EventSubject(requestId, workspace, server);
  }
}
