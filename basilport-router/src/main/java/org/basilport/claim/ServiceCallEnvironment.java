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
 * What the calls of plain services share.
 *
 * @param traffic runs all callbacks of calls
 * @param events receives events
 * @param metrics receives measurements
 * @param services gives access to replicas
 * @param backends backend servers as this instance sees them
 * @param claims claims request keys
 * @param retryBudget bounds retries of repeatable calls
 * @param retryDelays delays between tries
 * @param crashes knows the requests that were in flight when a backend server died
 * @param isolation gives suspect requests their slots
 */
public record ServiceCallEnvironment(
    Scheduler traffic,
    EventSink events,
    TrafficMetrics metrics,
    ServiceReplicaConnector services,
    BackendView backends,
    ClaimRegistry claims,
    RetryBudget retryBudget,
    FullJitterBackoff retryDelays,
    CrashTracker crashes,
    IsolationLeaseManager isolation) {}
