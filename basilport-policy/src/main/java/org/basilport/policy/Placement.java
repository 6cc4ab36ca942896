package org.basilport.policy;

/**
 * Assignment of a generation to a replica.
 *
 * @param item the generation
 * @param serverId backend server on which it starts
 * @param priority priority at the engine; the engine preempts smaller values first
 */
public record Placement(WorkItem item, String serverId, int priority) {}
