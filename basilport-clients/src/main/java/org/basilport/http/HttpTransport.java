package org.basilport.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.URI;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import org.basilport.error.Outcome;
import ratpack.exec.ExecController;
import ratpack.exec.internal.DefaultExecController;
import ratpack.util.internal.TransportDetector;

/**
 * Sends HTTP requests on the event loops of one shared {@code ExecController}. Each request gets
 * one response, whole, or a failure. Redirects are not followed, since they would send a request
 * twice. Results complete on an event loop thread, which must not be blocked.
 */
public final class HttpTransport implements AutoCloseable {
  /** Header field with the id of a request, repeated in the response if the server knows it. */
  public static final String REQUEST_ID = "Request-Id";

  private static final int MAX_BODY_BYTES = 2_000_000;
  private static final int DEFAULT_PORT = 80;

  /** Methods whose requests state the length of an empty body. */
  private static final Set<HttpMethod> METHODS_WITH_BODY =
      Set.of(HttpMethod.POST, HttpMethod.PUT, HttpMethod.PATCH);

  private final ExecController execController;
  private final boolean ownsExecController;
  private final HttpTimeouts timeouts;
  private final ConnectionSource pooledConnections;
  private final ConnectionSource newConnections;
  private final ConnectionSource streamConnections;

  /** Creates a transport that does not close the controller. */
  public HttpTransport(ExecController execController, HttpTimeouts timeouts) {
    this(execController, timeouts, false);
  }

  private HttpTransport(
      ExecController execController, HttpTimeouts timeouts, boolean ownsExecController) {
    this.execController = execController;
    this.ownsExecController = ownsExecController;
    this.timeouts = timeouts;
    Bootstrap bootstrap =
        new Bootstrap()
            .channel(TransportDetector.getSocketChannelImpl())
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeouts.connect().toMillis());
    this.pooledConnections = new PooledConnections(bootstrap, timeouts.idle());
    this.newConnections = new NewConnections(bootstrap);
    this.streamConnections =
        new NewConnections(
            bootstrap
                .clone()
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.RCVBUF_ALLOCATOR, oneReadAtATime()));
  }

  private static RecvByteBufAllocator oneReadAtATime() {
    return new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(1);
  }

  /**
   * Creates a transport that owns its controller, for use outside a Ratpack server. Ratpack 1.9
   * offers no public way to create a controller outside a server.
   */
  public static HttpTransport standalone(int threads, HttpTimeouts timeouts) {
    return new HttpTransport(new DefaultExecController(threads), timeouts, true);
  }

  /** Controller whose event loops run the requests. */
  public ExecController execController() {
    return execController;
  }

  /**
   * Sends a request and reads the complete response, of at most 2,000,000 bytes; fails with the
   * exception of the connection or of the response. The methods HEAD and CONNECT are not supported.
   */
  public CompletableFuture<HttpResponse> exchange(HttpCall call) {
    CompletableFuture<HttpResponse> result = new CompletableFuture<>();
    send(
        call,
        call.reuseConnection() ? pooledConnections : newConnections,
        execController.getEventLoopGroup().next(),
        timeouts.answer().plus(call.extraWait()),
        new CompleteResponse(MAX_BODY_BYTES, result));
    return result;
  }

  /**
   * Sends a request on a new connection whose response is read on demand of the receiver.
   *
   * @param call request
   * @param eventLoop event loop of the connection, on which the receiver is called
   * @param readTimeout maximum time without a received byte
   * @param receiver receiver of the response
   */
  public ResponseStream stream(
      HttpCall call, EventLoop eventLoop, Duration readTimeout, ResponseReceiver receiver) {
    return send(call, streamConnections, eventLoop, readTimeout, receiver);
  }

  private static HttpExchange send(
      HttpCall call,
      ConnectionSource source,
      EventLoop eventLoop,
      Duration readTimeout,
      ResponseReceiver receiver) {
    HttpExchange exchange = new HttpExchange(source, readTimeout, receiver);
    try {
      FullHttpRequest request = toRequest(call, source.reusesConnections());
      InetSocketAddress peer = peer(call.uri());
      eventLoop.execute(
          () ->
              source
                  .acquire(eventLoop, peer)
                  .addListener(
                      (Future<Channel> connection) -> exchange.start(connection, request)));
    } catch (IllegalArgumentException | RejectedExecutionException e) {
      receiver.onFailure(e);
    }
    return exchange;
  }

  private static InetSocketAddress peer(URI uri) {
    return InetSocketAddress.createUnresolved(
        uri.getHost(), uri.getPort() < 0 ? DEFAULT_PORT : uri.getPort());
  }

  private static FullHttpRequest toRequest(HttpCall call, boolean keepAlive) {
    URI uri = call.uri();
    String query = uri.getRawQuery() == null ? "" : "?" + uri.getRawQuery();
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(call.method()),
            uri.getRawPath() + query,
            Unpooled.wrappedBuffer(call.body()));
    request.headers().set(HttpHeaderNames.HOST, uri.getRawAuthority());
    call.headers().forEach(request.headers()::set);
    HttpUtil.setKeepAlive(request, keepAlive);
    if (call.body().length > 0 || METHODS_WITH_BODY.contains(request.method())) {
      HttpUtil.setContentLength(request, call.body().length);
    }
    return request;
  }

  /**
   * Classifies a failure of a request: NOT_RUN if no connection was established, so that no byte
   * was sent; otherwise MAY_HAVE_RUN.
   */
  public static Outcome outcomeOf(Throwable failure) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof ConnectException
          || cause instanceof NoRouteToHostException
          || cause instanceof UnknownHostException) {
        return Outcome.NOT_RUN;
      }
    }
    return Outcome.MAY_HAVE_RUN;
  }

  @Override
  public void close() {
    pooledConnections.close();
    if (ownsExecController) {
      execController.close();
    }
  }
}
