package org.basilport.policy.dispatch;

/**
 * Quarantine of a content, which is a request or a part of prompts.
 *
 * @param content hash of the content
 * @param lastCrashNanos monotonic time of the last crash that is attributed to the content
 * @param untilNanos monotonic time at which the quarantine ends
 */
public record Quarantine(long content, long lastCrashNanos, long untilNanos) {}
