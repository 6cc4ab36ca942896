package org.basilport.claim;

import org.basilport.backend.BackendView;
import org.basilport.delivery.TrafficMetrics;
import org.basilport.event.EventSink;
import org.basilport.misc.Scheduler;
import org.basilport.policy.limit.FullJitterBackoff;
import org.basilport.policy.limit.RetryBudget;
import org.basilport.quarantine.CrashTracker;
import org.basilport.quarantine.IsolationGate;
import org.basilport.service.PlainServiceConnector;

/**
 * Dependencies shared by all application service calls of an instance.
 *
 * @param traffic scheduler that runs all call callbacks
 * @param events event sink
 * @param metrics request metrics
 * @param services connects to service replicas
 * @param backends this instance's view of the backend servers
 * @param claims registry of request key claims
 * @param retryBudget limits the share of retried repeatable calls
 * @param retryDelays backoff between attempts
 * @param crashTracker tracks the requests that were in flight when a backend server died
 * @param isolation acquires the isolation slots in which suspect requests run
 */
public record PlainCallEnvironment(
    Scheduler traffic,
    EventSink events,
    TrafficMetrics metrics,
    PlainServiceConnector services,
    BackendView backends,
    ClaimRegistry claims,
    RetryBudget retryBudget,
    FullJitterBackoff retryDelays,
    CrashTracker crashTracker,
    IsolationGate isolation) {}
