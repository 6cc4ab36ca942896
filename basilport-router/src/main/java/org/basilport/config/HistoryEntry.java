package org.basilport.config;

/**
 * Accepted change in the history of configurations.
 *
 * @param number number of the resulting configuration
 * @param applyId id of the change
 * @param author operator who applied the change
 * @param acceptedAtMillis time of acceptance, in milliseconds since the epoch
 */
public record HistoryEntry(long number, String applyId, String author, long acceptedAtMillis) {}
