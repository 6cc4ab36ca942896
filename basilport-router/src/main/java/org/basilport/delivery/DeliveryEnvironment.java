package org.basilport.delivery;

import java.time.Duration;
import org.basilport.backend.BackendView;
import org.basilport.engine.ModelEngineConnector;
import org.basilport.event.EventSink;
import org.basilport.misc.Scheduler;
import org.basilport.policy.limit.FullJitterBackoff;
import org.basilport.policy.limit.RetryBudget;
import org.basilport.quarantine.CrashTracker;
import org.basilport.quarantine.IsolationLeaseManager;

/**
 * What the sessions of an instance share.
 *
 * @param traffic runs all callbacks of sessions
 * @param events receives events
 * @param metrics receives measurements
 * @param tokens signs and checks resume tokens
 * @param engines gives access to engines
 * @param backends backend servers as this instance sees them
 * @param retryBudget bounds new attempts
 * @param reconnectDelays delays between reconnections
 * @param crashes knows the requests that were in flight when a backend server died
 * @param isolation gives suspect requests their slots
 * @param resumeWindow how long a generation without a reader is kept
 */
public record DeliveryEnvironment(
    Scheduler traffic,
    EventSink events,
    TrafficMetrics metrics,
    ResumeTokenCodec tokens,
    ModelEngineConnector engines,
    BackendView backends,
    RetryBudget retryBudget,
    FullJitterBackoff reconnectDelays,
    CrashTracker crashes,
    IsolationLeaseManager isolation,
    Duration resumeWindow) {}
