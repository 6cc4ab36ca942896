package org.basilport.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;

/** Collects a response of limited size. */
final class CompleteResponse implements ResponseReceiver {
  private final int maxBodyBytes;
  private final CompletableFuture<HttpResponse> result;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;
  private HttpHeaders headers;

  CompleteResponse(int maxBodyBytes, CompletableFuture<HttpResponse> result) {
    this.maxBodyBytes = maxBodyBytes;
    this.result = result;
  }

  @Override
  public void onHead(int receivedStatus, HttpHeaders receivedHeaders) {
    status = receivedStatus;
    headers = receivedHeaders;
  }

  @Override
  public void onContent(ByteBuf content) throws IOException {
    if (body.size() + content.readableBytes() > maxBodyBytes) {
      throw new IOException("body longer than " + maxBodyBytes + " bytes");
    }
    body.writeBytes(ByteBufUtil.getBytes(content));
  }

  @Override
  public void onEnd() {
    result.complete(new HttpResponse(status, headers, body.toByteArray()));
  }

  @Override
  public void onFailure(Throwable cause) {
    result.completeExceptionally(cause);
  }
}
