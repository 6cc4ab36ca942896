package org.basilport.gateway.frontend;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/**
 * Decodes requests and rejects those whose length is ambiguous. Parsers that determine different
 * lengths would permit request smuggling to a backend server.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

  StrictRequestDecoder(int maxHeaderBytes) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(maxHeaderBytes)
            .setMaxHeaderSize(maxHeaderBytes)
            .setAllowDuplicateContentLengths(false)
            .setStrictLineParsing(true)
            .setUseRfc9112TransferEncoding(true)
            .setValidateHeaders(true));
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both a content length and chunks");
  }

  /** Returns the reason why the length of a request is ambiguous; an empty string if it is not. */
  static String lengthProblem(HttpMessage message) {
    List<String> encodings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    if (encodings.isEmpty()) {
      return "";
    }
    if (encodings.size() > 1 || !encodings.get(0).trim().equalsIgnoreCase("chunked")) {
      return "unsupported transfer encoding";
    }
    if (!message.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
      return "chunks before HTTP/1.1";
    }
    return "";
  }
}
