package org.basilport.gateway.message;

/**
 * Reference to a copy of the KV cache of a generation, which an engine holds.
 *
 * @param address IP address and port of the engine that issued the handle
 * @param handle handle of the copy at that engine
 */
public record KvCacheReference(String address, String handle) {}
