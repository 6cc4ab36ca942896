package org.basilport.policy.dispatch;

import java.util.OptionalLong;

/**
 * Address of an instance to which callers may connect.
 *
 * @param address IP address and port, separated by a colon
 * @param region region of the instance; empty if it is not known
 * @param ready whether the instance accepts requests, by its latest report
 * @param lastRunNanos latest monotonic time at which the instance is known to have run
 */
public record InstanceAddress(
    String address, String region, boolean ready, OptionalLong lastRunNanos) {}
