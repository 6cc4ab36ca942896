package org.basilport.event;

/**
 * One entry of the timeline.
 *
 * @param hybridTime time stamp of the hybrid logical clock
 * @param instanceId instance that recorded the event
 * @param type kind of event
 * @param subject what the event is about
 * @param text message with all arguments filled in
 */
public record Event(
    long hybridTime, String instanceId, EventType type, EventSubject subject, String text) {}
