package org.basilport.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.ReadTimeoutException;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.AsciiString;
import io.netty.util.concurrent.Future;
import java.io.EOFException;
import java.io.IOException;
import java.net.ConnectException;
import java.net.ProtocolException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.basilport.answer.SingleResponseDecoder;

/**
 * A request and its response on one connection. All state is confined to the event loop of the
 * connection.
 */
final class HttpExchange extends SimpleChannelInboundHandler<Object> implements ResponseStream {
  /** Interim responses to one request above which the server is considered faulty. */
  private static final int MAX_INTERIM_RESPONSES = 16;

  private static final AsciiString REQUEST_ID = AsciiString.cached(HttpTransport.REQUEST_ID);
  private static final Set<HttpResponseStatus> STATUSES_WITHOUT_BODY =
      Set.of(HttpResponseStatus.NO_CONTENT, HttpResponseStatus.NOT_MODIFIED);

  private final ConnectionSource source;
  private final Duration readTimeout;
  private final ResponseReceiver receiver;
  private Channel channel;
  private boolean ended;
  private boolean closed;
  private boolean requestWritten;
  private boolean headReceived;
  private boolean interimResponse;
  private int interimResponses;
  private boolean reusable;
  private boolean surplusReceived;
  private boolean contentRequested;

  HttpExchange(ConnectionSource source, Duration readTimeout, ResponseReceiver receiver) {
    this.source = source;
    this.readTimeout = readTimeout;
    this.receiver = receiver;
  }

  /** Sends the request when its connection is there; called on the event loop of the connection. */
  void start(Future<Channel> connection, FullHttpRequest request) {
    if (connection.isSuccess()) {
      send(connection.getNow(), request);
    } else {
      request.release();
      fail(withoutConnection(connection.cause()));
    }
  }

  private static Throwable withoutConnection(Throwable cause) {
    return cause instanceof ConnectException
        ? cause
        : new ConnectException("no connection: " + cause.getMessage()).initCause(cause);
  }

  private void send(Channel connection, FullHttpRequest request) {
    channel = connection;
    channel
        .pipeline()
        .addLast(
            new ReadTimeoutHandler(readTimeout.toMillis(), TimeUnit.MILLISECONDS),
            new SingleResponseDecoder(Optional.of(REQUEST_ID)),
            this);
    channel
        .writeAndFlush(request)
        .addListener(
            written -> {
              requestWritten = written.isSuccess();
              if (!written.isSuccess()) {
                fail(written.cause());
              }
            });
    readOn();
  }

  @Override
  public void requestContent() {
    if (!ended && channel != null) {
      contentRequested = true;
      channel.read();
    }
  }

  @Override
  public void close() {
    closed = true;
    if (headReceived && !ended) {
      ended = true;
      releaseClosed();
    }
  }

  private void releaseClosed() {
    if (channel != null) {
      channel.close();
      source.release(channel);
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Object message) throws IOException {
    if (!(message instanceof HttpObject)) {
      surplusReceived = true;
      return;
    }
    if (ended) {
      return;
    }
    HttpObject part = (HttpObject) message;
    if (part.decoderResult().isFailure()) {
      fail(part.decoderResult().cause());
      return;
    }
    if (part instanceof HttpResponse) {
      readHead((HttpResponse) part);
    }
    if (part instanceof HttpContent && !ended) {
      readContent((HttpContent) part);
    }
  }

  private void readHead(HttpResponse head) {
    HttpResponseStatus status = head.status();
    interimResponse = status.codeClass() == HttpStatusClass.INFORMATIONAL;
    if (interimResponse) {
      interimResponses++;
      if (status.equals(HttpResponseStatus.SWITCHING_PROTOCOLS)
          || interimResponses > MAX_INTERIM_RESPONSES) {
        fail(new ProtocolException("interim response " + interimResponses + ", status " + status));
      }
      return;
    }
    headReceived = true;
    if (closed) {
      close();
      return;
    }
    boolean delimited =
        HttpUtil.isContentLengthSet(head)
            || HttpUtil.isTransferEncodingChunked(head)
            || STATUSES_WITHOUT_BODY.contains(status);
    reusable = delimited && HttpUtil.isKeepAlive(head);
    receiver.onHead(status.code(), head.headers());
  }

  private void readContent(HttpContent content) throws IOException {
    boolean last = content instanceof LastHttpContent;
    if (interimResponse) {
      return;
    }
    if (content.content().isReadable()) {
      contentRequested = false;
      receiver.onContent(content.content());
    }
    if (last && !ended) {
      end();
    }
  }

  private void end() {
    ended = true;
    ChannelPipeline pipeline = channel.pipeline();
    // The decoder passes on the bytes that it has not decoded when it is removed.
    pipeline.remove(SingleResponseDecoder.class);
    pipeline.remove(ReadTimeoutHandler.class);
    pipeline.remove(this);
    if (source.reusesConnections() && reusable && requestWritten && !surplusReceived) {
      source.release(channel);
    } else {
      releaseClosed();
    }
    receiver.onEnd();
  }

  private void fail(Throwable cause) {
    if (!ended) {
      ended = true;
      releaseClosed();
      if (!closed) {
        receiver.onFailure(cause);
      }
    }
  }

  /** Reads until the head is there, and then as far as the receiver has requested. */
  private void readOn() {
    if (!ended && !channel.config().isAutoRead() && (!headReceived || contentRequested)) {
      channel.read();
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    readOn();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    fail(new EOFException("connection closed " + (headReceived ? "within" : "before") + " answer"));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (ended) {
      context.fireExceptionCaught(cause);
    } else if (cause instanceof ReadTimeoutException) {
      fail(new SocketTimeoutException("no byte was received for " + readTimeout));
    } else {
      fail(cause instanceof IOException ? cause : new IOException(cause));
    }
  }
}
