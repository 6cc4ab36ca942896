package org.basilport.gateway.config;

import java.time.Duration;

/**
 * What the servers of a service bear after a start during traffic.
 *
 * @param duration time for which a server stays cold after its start
 * @param requestsPerSecond requests per second that a cold server bears from all instances together
 */
public record ColdStart(Duration duration, double requestsPerSecond) {}
