package org.basilport.event;

import org.apache.logging.log4j.Level;

/**
 * Events that the system logs, with number, level and message template.
 *
 * <p>Numbers are never reused: 1xxx process, 2xxx configuration, 3xxx membership and location, 4xxx
 * generations, 5xxx service calls and claims, 6xxx backend servers and orders, 7xxx platform, 8xxx
 * deferred generations, 9xxx invariants.
 */
public enum EventType {
  INSTANCE_STARTED(1001, Level.INFO, "instance {} started, incarnation {}"),
  INSTANCE_READY(1002, Level.INFO, "instance {} is ready, configuration {}"),
  INSTANCE_DRAINING(1003, Level.INFO, "instance {} is draining: {}"),
  INSTANCE_STOPPED(1004, Level.INFO, "instance {} stopped"),
  INSTANCE_PAUSED(1005, Level.WARN, "control thread of {} was delayed by {} ms"),
  SETTINGS_RELOADED(1006, Level.INFO, "settings reloaded after a signal: {}"),
  EVENTS_DROPPED(1007, Level.WARN, "{} events dropped by the limit of {} events per second"),
  CONFIGURATION_ACCEPTED(2001, Level.INFO, "configuration {} accepted from {}, apply id {}"),
  CONFIGURATION_IN_FORCE(2002, Level.INFO, "configuration {} in force, received from {}"),
  CONFIGURATION_REFUSED(2003, Level.WARN, "configuration from {} refused: {}"),
  CONFIGURATION_CONFLICT(2004, Level.WARN, "configuration from {} conflicts with number {} of {}"),
  CONFIGURATION_STALE(2005, Level.WARN, "configuration {} may be out of date: {}"),
  CONFIGURATION_UNPROVEN(
      2006, Level.WARN, "no proof that configuration {} is the newest, proof_age_ms={}"),
  CONFIGURATION_PROVEN(
      2007, Level.INFO, "configuration {} proven to be the newest, proof_age_ms={}"),
  CONFIGURATION_OLDER(2008, Level.INFO, "configuration {} from {} ignored, {} is in force"),
  MEMBER_JOINED(3001, Level.INFO, "member {} joined, incarnation {}"),
  MEMBER_SUSPECTED(3002, Level.WARN, "member {} is suspected, no heartbeat for {} ms"),
  MEMBER_DEAD(3003, Level.WARN, "member {} is considered dead"),
  MEMBER_LEAVING(3004, Level.INFO, "member {} is leaving"),
  MEMBER_ENTRY_MISSING(3005, Level.WARN, "entry of instance {} is missing in the store"),
  MEMBERS_OUTSIDE_HOME(
      3006, Level.WARN, "host {} has no ready instance in its home regions {}, others are named"),
  GENERATION_ADMITTED(4001, Level.DEBUG, "generation {} admitted to {}"),
  GENERATION_FIRST_TOKEN(4002, Level.DEBUG, "generation {} delivered its first token"),
  GENERATION_FINISHED(4003, Level.DEBUG, "generation {} finished with {} tokens"),
  GENERATION_RETRIED(4004, Level.INFO, "generation {} is retried as attempt {}: {}"),
  GENERATION_LOST(4005, Level.WARN, "generation {} was lost after {} tokens: {}"),
  GENERATION_RESUMED(4006, Level.INFO, "generation {} resumed at offset {}"),
  GENERATION_HANDED_OVER(4007, Level.INFO, "generation {} handed over at offset {}"),
  GENERATION_ORPHANED(4008, Level.INFO, "generation {} on {} had no reader and was cancelled"),
  GENERATION_REFUSED(4009, Level.INFO, "generation {} refused: {}"),
  GENERATION_CANCELLED(4010, Level.DEBUG, "generation {} cancelled by its caller"),
  FRAME_DROPPED(4011, Level.DEBUG, "frame of {} at offset {} dropped, expected {}"),
  REQUEST_SENT(
      4012,
      Level.INFO,
      "request={} route={} server={} run={} requests={} unread_tokens={} memory_tokens={}"
          + " waited_ms={} from={}"),
  REQUEST_FINISHED(
      4013, Level.INFO, "request={} status={} server={} elapsed_ms={} first_event_ms={} events={}"),
  REQUEST_REFUSED(
      4014,
      Level.INFO,
      "request={} status={} step={} reason={} configuration={} proof_age_ms={} waiting={}"),
  REQUEST_RETRIED(4015, Level.INFO, "request={} server={} runs={} events={} sent again: {}"),
  REQUEST_FAILED(4016, Level.WARN, "request={} status={} server={} events={} failed: {}"),
  MOVE_STARTED(4017, Level.INFO, "request={} from={} to={} events={} move started: {}"),
  MOVE_FINISHED(4018, Level.INFO, "request={} from={} to={} events={} pause_ms={}"),
  MOVE_FAILED(4019, Level.WARN, "request={} from={} to={} step={} move failed: {}"),
  CALLER_LEFT(4020, Level.INFO, "request={} server={} events={} caller closed its connection"),
  STREAM_TAKEN_UP(
      4021, Level.INFO, "request={} takes up stream={} after_event={} at version={}: {}"),
  CALL_FINISHED(5001, Level.DEBUG, "call {} finished at {} with status {}"),
  CALL_FAILED(5002, Level.INFO, "call {} failed: {}"),
  CLAIM_RECORDED(5003, Level.DEBUG, "claim of key {} recorded for attempt {}"),
  CLAIM_REFUSED(5004, Level.INFO, "claim of key {} refused: {}"),
  CLAIM_RELEASED(5005, Level.DEBUG, "claim of key {} released by attempt {}"),
  BACKEND_ADDED(6001, Level.INFO, "backend server {} added, incarnation {}, version {}"),
  BACKEND_LEAVING(6002, Level.INFO, "backend server {} is leaving, source: {}"),
  BACKEND_DEAD(6003, Level.WARN, "backend server {} died with {} requests in flight"),
  BACKEND_EJECTED(6004, Level.WARN, "backend server {} ejected for slow decoding: {} ms"),
  REQUEST_SUSPECTED(6005, Level.WARN, "request fingerprint {} suspected after {} deaths"),
  REQUEST_QUARANTINED(6006, Level.ERROR, "request fingerprint {} quarantined after {} deaths"),
  REQUEST_CLEARED(6007, Level.INFO, "request fingerprint {} cleared"),
  ORDER_SENT(6008, Level.INFO, "order {} sent to {} with fencing token {}"),
  ORDER_REFUSED(6009, Level.WARN, "order {} refused by {}: {}"),
  DUTY_ACQUIRED(6010, Level.INFO, "duty {} acquired by {} with fencing token {}"),
  DUTY_LOST(6011, Level.WARN, "duty {} lost by {}: {}"),
  FETCH_REFUSED(6012, Level.INFO, "fetch of {} for {} refused, retrying after {} ms"),
  RUNNING_REQUEST_LOST(
      6013, Level.INFO, "request={} server={} lost while running, answering={} events={} parts={}"),
  BACKEND_ENDED(6014, Level.WARN, "backend server {} ended without notice, source: {}"),
  CONTENT_QUARANTINED(6015, Level.ERROR, "content {} quarantined, crashes of backend servers: {}"),
  CONTENT_CLEARED(6016, Level.INFO, "quarantine of content {} lifted: a server answered it"),
  BACKEND_LIMIT_CHANGED(
      6017, Level.INFO, "backend server {} accepts requests per second: {}, source: {}"),
  BACKEND_TOLD_DEPARTURE(
      6018, Level.INFO, "request={} server={} incarnation={} says in its answer that it leaves"),
  BACKEND_PAUSED(
      6019, Level.INFO, "request={} server={} incarnation={} wants no requests, left_ms={}"),
  ANSWER_INVALID(
      6020,
      Level.WARN,
      "request={} server={} waiting={} status={} bytes={} requests={} invalid answer: {}"),
  DATA_CENTRE_EVACUATED(
      6021, Level.WARN, "data centre {} is evacuated, store incarnation {}, revision {}"),
  DATA_CENTRE_RESTORED(
      6022, Level.INFO, "data centre {} is used again, store incarnation {}, revision {}"),
  SERVER_COLD(
      6023, Level.INFO, "server={} incarnation={} is cold, left_ms={} own_permits={} source={}"),
  PLATFORM_UNAVAILABLE(7001, Level.WARN, "platform call {} failed: {}"),
  PLATFORM_AVAILABLE(7002, Level.INFO, "platform answers again after {} ms"),
  PLATFORM_BUDGET_SPENT(7003, Level.WARN, "platform call {} delayed, request budget exhausted"),
  PLATFORM_RETURNED_OLDER(
      7004, Level.WARN, "store returned from an older copy, incarnation {} follows {}"),
  PLATFORM_REVISION_LOWER(7005, Level.WARN, "list of {} at revision {} follows revision {}"),
  PLATFORM_COMPLETE(7006, Level.INFO, "store incarnation {} is complete, source: {}"),
  PLATFORM_OBJECT_UNREADABLE(7007, Level.WARN, "object of kind {} cannot be read: {}"),
  JOB_ACCEPTED(8001, Level.DEBUG, "job {} accepted"),
  JOB_FINISHED(8002, Level.DEBUG, "job {} finished with {} tokens"),
  JOB_RETRIED(8003, Level.INFO, "job {} restarted: {}"),
  JOB_SHARD_ACQUIRED(8004, Level.INFO, "job shard {} acquired from {}"),
  INVARIANT_VIOLATED(9001, Level.ERROR, "invariant {} violated: {}");

  private final int number;
  private final Level level;
  private final String template;

  EventType(int number, Level level, String template) {
    this.number = number;
    this.level = level;
    this.template = template;
  }

  /** Number of the event in the event catalogue. */
  public int number() {
    return number;
  }

  /** Level at which the event is logged. */
  public Level level() {
    return level;
  }

  /** Message template with a pair of braces for each argument. */
  public String template() {
    return template;
  }
}
