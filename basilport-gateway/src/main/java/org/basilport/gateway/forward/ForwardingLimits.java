package org.basilport.gateway.forward;

import java.time.Duration;

/**
 * Limits on what an instance may rely on.
 *
 * @param maxProofAge age of the freshness proof above which access keys are not accepted
 * @param minEventGap gap between two events of a stream that is permitted on every route
 * @param drainPeriod time after a server was known to leave in which it may still receive requests
 */
public record ForwardingLimits(Duration maxProofAge, Duration minEventGap, Duration drainPeriod) {}
