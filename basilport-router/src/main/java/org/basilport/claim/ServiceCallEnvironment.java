package org.basilport.claim;

import org.basilport.backend.BackendView;
import org.basilport.delivery.TrafficMetrics;
import org.basilport.event.EventSink;
import org.basilport.misc.Scheduler;
import org.basilport.policy.limit.FullJitterBackoff;
import org.basilport.policy.limit.RetryBudget;
import org.basilport.quarantine.CrashTracker;
import org.basilport.quarantine.IsolationLeaseManager;
import org.basilport.service.ServiceReplicaConnector;

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
 * @param retryBackoff backoff between attempts
 * @param crashTracker tracks the requests that were in flight when a backend server crashed
 * @param isolation acquires the isolation slots in which suspect requests run
 */
public record ServiceCallEnvironment(
    Scheduler traffic,
    EventSink events,
    TrafficMetrics metrics,
    ServiceReplicaConnector services,
    BackendView backends,
    ClaimRegistry claims,
    RetryBudget retryBudget,
    FullJitterBackoff retryBackoff,
    CrashTracker crashTracker,
    IsolationLeaseManager isolation) {}
