package org.basilport.event;

/**
 * Entry of the timeline.
 *
 * @param hybridTime timestamp of the hybrid logical clock
 * @param instanceId instance that recorded the event
 * @param type type of the event
 * @param subject request, workspace or server that the event is about
 * @param text message with all arguments filled in
 */
public record Event(
    long hybridTime, String instanceId, EventType type, EventSubject subject, String text) {}
