package org.basilport.answer;

import io.netty.handler.codec.DecoderException;

/**
 * Thrown when the bytes of one response hold the beginning of another one, or do not begin with a
 * valid status line.
 */
public final class MixedResponseException extends DecoderException {
  private static final long serialVersionUID = 1L;

  MixedResponseException(String message) {
    super(message);
  }
}
