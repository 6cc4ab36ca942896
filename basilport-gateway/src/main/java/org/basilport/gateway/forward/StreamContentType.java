package org.basilport.gateway.forward;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpUtil;

/** What the head of a successful answer says of its body, where an event stream is expected. */
enum StreamContentType {
  /** The body is an event stream. */
  EVENT_STREAM,
  /** The head does not say what the body is. */
  UNDECLARED,
  /** The body is something else, such as the text of an error. */
  OTHER;

  static StreamContentType of(HttpHeaders headers) {
    String value = headers.get(HttpHeaderNames.CONTENT_TYPE);
    if (value == null) {
      return UNDECLARED;
    }
    CharSequence mimeType = HttpUtil.getMimeType(value);
    return mimeType != null && HttpHeaderValues.TEXT_EVENT_STREAM.contentEqualsIgnoreCase(mimeType)
        ? EVENT_STREAM
        : OTHER;
  }

  /**
   * Whether a body that ended is a whole stream. Only one that is declared as a stream may hold no
   * event, when it was resumed after the last one.
   */
  boolean mayEnd(int events) {
    return events > 0 || this == EVENT_STREAM;
  }
}
