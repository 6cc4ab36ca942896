package org.basilport.cli.client;

/**
 * A received server-sent event.
 *
 * @param id value for Last-Event-ID, empty when the event has none
 * @param event event type
 * @param data JSON data
 */
record ReceivedEvent(String id, String event, String data) {}
