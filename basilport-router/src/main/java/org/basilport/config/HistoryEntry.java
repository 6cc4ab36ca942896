package org.basilport.config;

/**
 * An accepted change.
 *
 * @param number number of the acceptance
 * @param applyId id of the change
 * @param author who applied it
 * @param acceptedAtMillis when it was accepted, in milliseconds since the epoch
 */
public record HistoryEntry(long number, String applyId, String author, long acceptedAtMillis) {}
