package org.basilport.gateway.peer;

import java.net.InetSocketAddress;

/**
 * An instance that registered itself.
 *
 * @param id id of the instance
 * @param peerAddress address that takes datagrams of other instances
 */
public record InstanceEntry(String id, InetSocketAddress peerAddress) {}
