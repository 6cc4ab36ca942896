package org.basilport.policy.dispatch;

/**
 * A quarantine that began or that was lifted before its end.
 *
 * @param quarantine the quarantine
 * @param begun whether it began
 * @param crashes crashes of servers that are attributed to the content; 0 if it was lifted
 */
public record QuarantineChange(Quarantine quarantine, boolean begun, int crashes) {}
