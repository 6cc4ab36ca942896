package org.basilport.gateway.peer;

import java.net.InetSocketAddress;

/**
 * Directory entry of an instance.
 *
 * @param id id of the instance
 * @param peerAddress address that receives datagrams of other instances
 */
public record InstanceEntry(String id, InetSocketAddress peerAddress) {}
