package org.basilport.policy;

/**
 * A generation that starts now.
 *
 * @param item the generation
 * @param serverId backend server on which it starts
 * @param priority priority at the engine; larger values are preempted later
 */
public record Placement(WorkItem item, String serverId, int priority) {}
