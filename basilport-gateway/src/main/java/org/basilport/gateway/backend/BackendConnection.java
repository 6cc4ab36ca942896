package org.basilport.gateway.backend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.basilport.answer.SingleResponseDecoder;
import org.basilport.gateway.message.MessageCodec;
import org.basilport.gateway.message.ServerNotice;
import org.basilport.gateway.message.ServerResponse;

/**
 * HTTP/1.1 connection to a backend server that carries one request at a time.
 *
 * <p>A response with the id of another request is discarded: a faulty server may respond twice, and
 * the second response arrives in place of the response to the next request. Confined to the event
 * loop thread.
 */
public final class BackendConnection extends SimpleChannelInboundHandler<HttpObject> {
  /** Idle timeout of a connection whose server does not send one. */
  private static final long DEFAULT_IDLE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /**
   * Safety margin before the idle timeout of the server, within which a connection is not reused.
   */
  private static final long IDLE_TIMEOUT_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /**
   * Upper limit of the idle timeout, so that unused connections become available to other
   * instances.
   */
  private static final long MAX_IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(8);

  /** Status with which another server answers that has taken over the address. */
  private static final int MISDIRECTED = 421;

  /** Statuses whose answers end with their heads, whatever these say of a body. */
  private static final Set<HttpResponseStatus> STATUSES_WITHOUT_BODY =
      Set.of(HttpResponseStatus.NO_CONTENT, HttpResponseStatus.NOT_MODIFIED);

  /** Interim responses to one request above which the server is considered faulty. */
  private static final int MAX_INTERIM_RESPONSES = 16;

  /** Discarded responses before that to one request above which the server is faulty. */
  private static final int MAX_DISCARDED_RESPONSES = 16;

  /** Size of a discarded response, in bytes, above which its end is not awaited. */
  private static final int MAX_DISCARDED_BYTES = 262_144;

  private final MessageCodec codec;
  private final Consumer<BackendConnection> onIdle;
  private final ServerAnswerListener answerListener;
  private Channel channel;
  private ResponseListener listener;
  private String requestId = "";
  private boolean requestWritten;
  private boolean headReceived;
  private boolean bodyReceived;
  private boolean successful;
  private boolean discarding;
  private boolean interimResponse;
  private int interimResponses;
  private int discardedResponses;
  private int discardedBytes;
  private int requests;
  private int status;
  private final ResponseOverheadLimit overheadLimit = new ResponseOverheadLimit(this);
  private final SingleResponseDecoder decoder;
  private final RecentRequestIds failedRequests = new RecentRequestIds();
  private boolean unidentifiedAnswer;
  private boolean reused;
  private boolean delimitedByClose;
  private boolean reusable;
  private boolean closed;
  private long idleTimeoutNanos = DEFAULT_IDLE_TIMEOUT_NANOS;
  private long idleSinceNanos;

  BackendConnection(
      MessageCodec codec, Consumer<BackendConnection> onIdle, ServerAnswerListener answerListener) {
    this.codec = codec;
    this.decoder = new SingleResponseDecoder(Optional.of(codec.requestIdHeader()));
    this.onIdle = onIdle;
    this.answerListener = answerListener;
  }

  /** Handlers of the channel, in order. */
  ChannelHandler[] handlers() {
    return new ChannelHandler[] {new HttpRequestEncoder(), overheadLimit, decoder, this};
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  /** Sends a request; the listener receives the response. */
  public void send(FullHttpRequest request, String id, ResponseListener responseListener) {
    listener = responseListener;
    unidentifiedAnswer |= !responseListener.identified();
    requestId = id;
    requests++;
    status = 0;
    requestWritten = false;
    headReceived = false;
    bodyReceived = false;
    discarding = false;
    interimResponses = 0;
    discardedResponses = 0;
    discardedBytes = 0;
    overheadLimit.reset();
    decoder.expectNoContent(request.method().equals(HttpMethod.HEAD));
    setReading(true);
    channel
        .writeAndFlush(request)
        .addListener(
            result -> {
              requestWritten = result.isSuccess();
              if (!result.isSuccess()) {
                fail("send failed: " + result.cause());
              }
            });
  }

  /**
   * Abandons the current request and closes the connection, so that the server stops processing it.
   */
  public void abandon() {
    listener = null;
    close();
  }

  /** Abandons the current request, if there is one. */
  public void abandonRequest() {
    if (listener != null) {
      abandon();
    }
  }

  public void close() {
    closed = true;
    if (channel != null) {
      channel.close();
    }
  }

  /** Returns a connection on which nothing was sent to its pool. */
  public void release() {
    // The idle timeout goes on: the server has received nothing meanwhile.
    onIdle.accept(this);
  }

  /** Pauses or resumes reading, to apply the back-pressure of the caller. */
  public void setReading(boolean reading) {
    channel.config().setAutoRead(reading);
  }

  /** Starts the idle timeout of a connection that has not carried a request. */
  void markIdle() {
    idleSinceNanos = System.nanoTime();
  }

  /** Whether a connection that carries no request can be used. */
  public boolean usable() {
    return usable(System.nanoTime());
  }

  /**
   * Whether a late second answer cannot be taken for the answer to a request with this id: the
   * connection has not carried a request with the id that failed.
   */
  boolean distinguishes(String id) {
    return !failedRequests.contains(id);
  }

  /** Whether bytes that are received belong to an answer that is read or discarded. */
  boolean awaitsAnswer() {
    return listener != null || discarding;
  }

  /** Whether the connection has carried a request whose answer has no id. */
  boolean hadUnidentifiedAnswer() {
    return unidentifiedAnswer;
  }

  /** Whether an idle connection can be reused. */
  boolean usable(long nowNanos) {
    return !closed && channel.isActive() && nowNanos - idleSinceNanos < idleTimeoutNanos;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
    if (message.decoderResult().isFailure()) {
      fail("invalid answer: " + message.decoderResult().cause());
      return;
    }
    if (!awaitsAnswer()) {
      fail("answer without a request");
      return;
    }
    if (message instanceof HttpResponse) {
      readHead((HttpResponse) message);
    }
    if (message instanceof HttpContent) {
      readContent((HttpContent) message);
    }
  }

  private void readHead(HttpResponse head) {
    ServerResponse response = codec.decodeResponse(head);
    Optional<String> echoed = response.requestId();
    boolean announces = !response.notice().equals(ServerNotice.NONE);
    interimResponse = head.status().code() >= 100 && head.status().code() < 200;
    discarding = !interimResponse && echoed.isPresent() && !echoed.get().equals(requestId);
    // An answer to another request may be old: that it announces nothing means nothing.
    if (response.status() != MISDIRECTED && (announces || !(interimResponse || discarding))) {
      answerListener.onNotice(echoed.orElse(requestId), response.notice());
    }
    if (interimResponse) {
      interimResponses++;
      if (interimResponses > MAX_INTERIM_RESPONSES) {
        fail("more than " + MAX_INTERIM_RESPONSES + " interim responses");
      }
      return;
    }
    if (discarding) {
      decoder.discardContent();
      discardedResponses++;
      if (discardedResponses > MAX_DISCARDED_RESPONSES) {
        fail("more than " + MAX_DISCARDED_RESPONSES + " answers to other requests");
      }
      return;
    }
    if (echoed.isEmpty() && requiresRequestId(response)) {
      fail("answer without a request id");
      return;
    }
    headReceived = true;
    successful = response.successful();
    status = response.status();
    unidentifiedAnswer |= echoed.isEmpty();
    if (!response.successful()) {
      failedRequests.add(requestId);
    }
    delimitedByClose =
        !HttpUtil.isContentLengthSet(head)
            && !HttpUtil.isTransferEncodingChunked(head)
            && !STATUSES_WITHOUT_BODY.contains(head.status());
    reusable = HttpUtil.isKeepAlive(head) && !delimitedByClose && !response.closesConnection();
    idleTimeoutNanos =
        response.idleTimeoutSeconds().isPresent()
            ? TimeUnit.SECONDS.toNanos(response.idleTimeoutSeconds().getAsInt())
                - IDLE_TIMEOUT_MARGIN_NANOS
            : DEFAULT_IDLE_TIMEOUT_NANOS;
    idleTimeoutNanos = Math.min(MAX_IDLE_TIMEOUT_NANOS, idleTimeoutNanos);
    listener.onHead(response, head);
  }

  /**
   * On a reused connection, an answer without an id may be a late second one to another request.
   */
  private boolean requiresRequestId(ServerResponse response) {
    return listener.identified() && (reused || (response.successful() && response.signed()));
  }

  private void readContent(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    overheadLimit.onContent(content.content().readableBytes());
    if (interimResponse) {
      return;
    }
    if (discarding) {
      discarding = !last;
      discardedBytes += content.content().readableBytes();
      if (discardedBytes > MAX_DISCARDED_BYTES) {
        fail("answer to another request exceeds " + MAX_DISCARDED_BYTES + " bytes");
      }
      return;
    }
    bodyReceived |= content.content().isReadable();
    if (listener != null && content.content().isReadable()) {
      listener.onContent(content.content());
    }
    if (last && listener != null && !delimitedByClose) {
      finish();
    }
  }

  private void finish() {
    ResponseListener finished = listener;
    listener = null;
    boolean furtherBytes = decoder.hasUndecodedBytes();
    if (furtherBytes) {
      report(false, "bytes after the answer");
    }
    if (!furtherBytes && reusable && requestWritten && channel.isActive()) {
      idleSinceNanos = System.nanoTime();
      reused = true;
      // An idle connection must read, to detect that the server closes it.
      setReading(true);
      finished.onComplete();
      onIdle.accept(this);
    } else {
      close();
      finished.onComplete();
    }
  }

  /** Closes the connection; the current request fails. */
  void fail(String reason) {
    ResponseListener failed = listener;
    listener = null;
    if (overheadLimit.receivedBytes() > 0 && !closed) {
      report(failed != null, reason);
    }
    close();
    if (failed != null) {
      failed.onFailure(reason);
    }
  }

  private void report(boolean waiting, String reason) {
    answerListener.onProblem(
        new AnswerProblem(
            requestId, waiting, status, overheadLimit.receivedBytes(), requests, reason));
  }

  /**
   * A success without a length and without a byte of its body is not taken for a whole answer: it
   * cannot be told from that of a server that stopped after its head.
   */
  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (listener != null && headReceived && delimitedByClose && (bodyReceived || !successful)) {
      closed = true;
      finish();
    } else if (listener == null) {
      closed = true;
    } else {
      fail(
          headReceived
              ? "connection closed within the answer"
              : "connection closed before an answer");
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    fail("connection failed: " + cause);
  }
}
