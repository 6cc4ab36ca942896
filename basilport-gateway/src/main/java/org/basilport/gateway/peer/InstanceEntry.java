package org.basilport.gateway.peer;

import java.net.InetSocketAddress;

/**
 * An instance that registered itself.
 *
 * @param id id of the instance
 * @param loadAddress address that takes load reports
 */
public record InstanceEntry(String id, InetSocketAddress loadAddress) {}
