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
 * Dependencies shared by all generation sessions of an instance.
 *
 * @param traffic scheduler that runs all session callbacks
 * @param events event sink
 * @param metrics request metrics
 * @param resumeTokenCodec signs and verifies resume tokens
 * @param engines connects to model engines
 * @param backends this instance's view of the backend servers
 * @param retryBudget limits the share of retried requests
 * @param reconnectBackoff backoff between reconnections to the same engine
 * @param crashTracker tracks the requests that were in flight when a backend server crashed
 * @param isolation acquires the isolation slots in which suspect requests run
 * @param resumeWindow how long a generation without a reader is kept before it is cancelled
 */
public record DeliveryEnvironment(
    Scheduler traffic,
    EventSink events,
    TrafficMetrics metrics,
    ResumeTokenCodec resumeTokenCodec,
    ModelEngineConnector engines,
    BackendView backends,
    RetryBudget retryBudget,
    FullJitterBackoff reconnectBackoff,
    CrashTracker crashTracker,
    IsolationLeaseManager isolation,
    Duration resumeWindow) {}
