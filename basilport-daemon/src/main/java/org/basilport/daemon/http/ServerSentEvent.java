package org.basilport.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * A server-sent event, encoded in the text/event-stream format.
 *
 * @param id resume token, empty when the event has none
 * @param event event type
 * @param data JSON on one line
 */
record ServerSentEvent(String id, String event, String data) {

  ByteBuf encode() {
    StringBuilder text = new StringBuilder();
    if (!id.isEmpty()) {
      text.append("id: ").append(id).append('\n');
    }
    text.append("event: ").append(event).append('\n');
    text.append("data: ").append(data).append("\n\n");
    return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
  }
}
