package org.basilport.gateway.message;

/**
 * Key-value memory of a generation that an engine holds.
 *
 * @param address IP address and port of the engine that issued the handle
 * @param handle handle of the copy
 */
public record KvCacheReference(String address, String handle) {}
