package org.basilport.gateway.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import org.basilport.gateway.config.FrontendLimits;
import org.basilport.gateway.forward.ResponseChannel;

/**
 * Server side of an HTTP/1.1 connection of a caller. Pipelined requests are processed one at a
 * time, in order. Confined to the event loop thread.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements ResponseChannel {
  /** Number of messages of pipelined requests above which reading pauses. */
  private static final int MAX_PENDING_MESSAGES = 32;

  private final RequestHandler requestHandler;
  private final FrontendLimits limits;
  private final HeaderTimeoutHandler heads;
  private final ArrayDeque<Object> pending = new ArrayDeque<>();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private ChannelHandlerContext context;
  private HttpRequest head;
  private CallerConnectionListener connectionListener = CallerConnectionListener.NONE;
  private boolean responding;
  private boolean keepAlive;
  private boolean closing;
  private boolean headReceived;
  private ChannelFuture responseEnd;
  private ScheduledFuture<?> idleTimer;

  CallerConnection(
      RequestHandler requestHandler, FrontendLimits limits, HeaderTimeoutHandler heads) {
    this.heads = heads;
    this.requestHandler = requestHandler;
    this.limits = limits;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
  }

  @Override
  public void channelActive(ChannelHandlerContext active) {
    startTimer(limits.idleTimeout().toNanos());
  }

  private void startTimer(long nanos) {
    stopTimer();
    idleTimer = context.executor().schedule(this::onTimer, nanos, TimeUnit.NANOSECONDS);
  }

  private void stopTimer() {
    if (idleTimer != null) {
      idleTimer.cancel(false);
      idleTimer = null;
    }
  }

  private void onTimer() {
    if (responding || closing) {
      return;
    }
    if (head == null) {
      context.close();
    } else {
      reject(HttpResponseStatus.REQUEST_TIMEOUT, "request was not complete in time");
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ignored, Object message) {
    if (closing) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (responding) {
      pending.add(message);
      if (pending.size() > MAX_PENDING_MESSAGES) {
        context.channel().config().setAutoRead(false);
      }
      return;
    }
    handle(message);
  }

  private void handle(Object message) {
    try {
      if (message instanceof HttpRequest) {
        startRequest((HttpRequest) message);
      }
      if (message instanceof HttpContent && !closing) {
        readBody((HttpContent) message);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void startRequest(HttpRequest request) {
    if (request.decoderResult().isFailure()) {
      rejectInvalid(request.decoderResult().cause());
      return;
    }
    String problem = StrictRequestDecoder.lengthProblem(request);
    if (!problem.isEmpty()) {
      reject(HttpResponseStatus.BAD_REQUEST, problem);
      return;
    }
    if (HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body is too large");
      return;
    }
    head = request;
    headReceived = true;
    heads.onDecoded();
    body.reset();
    startTimer(limits.idleTimeout().toNanos());
    if (HttpUtil.is100ContinueExpected(request)) {
      context.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  private void readBody(HttpContent content) {
    if (content.decoderResult().isFailure()) {
      rejectInvalid(content.decoderResult().cause());
      return;
    }
    if (head == null) {
      return;
    }
    ByteBuf bytes = content.content();
    if (body.size() + bytes.readableBytes() > limits.maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body is too large");
      return;
    }
    body.writeBytes(ByteBufUtil.getBytes(bytes));
    if (content instanceof LastHttpContent) {
      completeRequest();
    }
  }

  private void completeRequest() {
    stopTimer();
    HttpRequest complete = head;
    head = null;
    heads.onDecoded();
    responding = true;
    keepAlive = HttpUtil.isKeepAlive(complete);
    CallerConnectionListener requestListener =
        requestHandler.receive(complete, body.toByteArray(), this);
    body.reset();
    if (responding) {
      connectionListener = requestListener;
    }
  }

  private void rejectInvalid(Throwable cause) {
    if (cause instanceof TooLongFrameException) {
      reject(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "headers are too large");
    } else {
      reject(HttpResponseStatus.BAD_REQUEST, "invalid request: " + cause.getMessage());
    }
  }

  private void reject(HttpResponseStatus status, String reason) {
    head = null;
    keepAlive = false;
    responding = true;
    sendReason(status.code(), new DefaultHttpHeaders(), reason);
  }

  @Override
  public void send(int status, HttpHeaders headers, byte[] content) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(content));
    response.headers().set(headers);
    response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
    if (status != 204 && status != 304) {
      response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, content.length);
    }
    addConnectionHeader(response);
    responseEnd = context.writeAndFlush(response);
    endResponse();
  }

  @Override
  public void startResponse(int status, HttpHeaders headers) {
    HttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    response.headers().set(headers);
    response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
    response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    addConnectionHeader(response);
    context.write(response);
  }

  private void addConnectionHeader(HttpResponse response) {
    if (!keepAlive || requestHandler.draining()) {
      keepAlive = false;
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  @Override
  public void write(ByteBuf content) {
    context.writeAndFlush(new DefaultHttpContent(content));
  }

  @Override
  public void finishResponse() {
    responseEnd = context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    endResponse();
  }

  private void endResponse() {
    responding = false;
    connectionListener = CallerConnectionListener.NONE;
    if (!keepAlive) {
      closing = true;
      context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
      return;
    }
    startTimer(limits.idleTimeout().toNanos());
    while (!responding && !closing && !pending.isEmpty()) {
      handle(pending.poll());
    }
    if (!closing && !context.channel().config().isAutoRead() && pending.isEmpty()) {
      context.channel().config().setAutoRead(true);
    }
  }

  @Override
  public void abort() {
    responding = false;
    closing = true;
    connectionListener = CallerConnectionListener.NONE;
    // Reset the connection, so that the caller does not take the response for complete.
    context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
    context.close();
  }

  @Override
  public boolean isWritable() {
    return context.channel().isWritable();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext changed) {
    connectionListener.onWritabilityChanged(changed.channel().isWritable());
  }

  /** Whether the head of at least one request was received. */
  boolean hasReceivedHead() {
    return headReceived;
  }

  /** Whether a part of a request was received, but not yet all of it. */
  boolean receiving() {
    return head != null || heads.hasUndecodedBytes();
  }

  /** Whether the socket has not yet taken the whole response to the last request. */
  boolean writing() {
    return responseEnd != null && !responseEnd.isDone();
  }

  /** Closes the connection if it carries neither a request nor a response. */
  void closeIfIdle() {
    if (!responding && !receiving() && !writing()) {
      context.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext inactive) {
    stopTimer();
    closing = true;
    pending.forEach(ReferenceCountUtil::release);
    pending.clear();
    CallerConnectionListener requestListener = connectionListener;
    connectionListener = CallerConnectionListener.NONE;
    requestListener.onCallerDisconnected();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
    failed.close();
  }
}
