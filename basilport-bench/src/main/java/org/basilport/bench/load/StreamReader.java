package org.basilport.bench.load;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;

/**
 * Reads one stream of server-sent events and checks that its tokens are complete, in order and from
 * one generation. The stand-in engines put generation and index into the text of each token, so the
 * check is the same with and without the daemon.
 */
final class StreamReader extends SimpleChannelInboundHandler<HttpObject> {
  private static final int OK = 200;
  private static final String TOKENS = "\"tokens\":[";

  private final StreamStatistics statistics;
  private final long plannedNanos;
  private final int expectedTokens;
  private final StringBuilder buffer = new StringBuilder();
  private String generation = "";
  private int nextToken;
  private long lastEventNanos;
  private boolean finished;

  StreamReader(StreamStatistics statistics, long plannedNanos, int expectedTokens) {
    this.statistics = statistics;
    this.plannedNanos = plannedNanos;
    this.expectedTokens = expectedTokens;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
    if (message instanceof HttpResponse && ((HttpResponse) message).status().code() != OK) {
      fail();
      context.close();
    } else if (message instanceof HttpContent) {
      buffer.append(((HttpContent) message).content().toString(StandardCharsets.UTF_8));
      readEvents(context);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    fail();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    fail();
    context.close();
  }

  void fail() {
    if (!finished) {
      finished = true;
      statistics.recordFailed();
    }
  }

  private void readEvents(ChannelHandlerContext context) {
    int end = buffer.indexOf("\n\n");
    while (end >= 0 && !finished) {
      String event = buffer.substring(0, end);
      buffer.delete(0, end + 2);
      handleEvent(event);
      end = buffer.indexOf("\n\n");
    }
    if (finished) {
      context.close();
    }
  }

  private void handleEvent(String event) {
    if (event.contains("event: end") || event.contains("data: [DONE]")) {
      finished = true;
      if (nextToken == expectedTokens) {
        statistics.recordCompleted();
      } else {
        statistics.recordFaulty();
      }
    } else if (event.contains("event: error") || event.contains("event: resume")) {
      fail();
    } else {
      readTokens(event);
    }
  }

  private void readTokens(String event) {
    int begin = event.indexOf(TOKENS) + TOKENS.length();
    int end = event.indexOf(']', begin);
    if (begin < TOKENS.length() || end <= begin) {
      return;
    }
    long now = System.nanoTime();
    if (nextToken == 0) {
      statistics.recordFirstToken(now - plannedNanos);
    } else {
      statistics.recordNextToken(now - lastEventNanos);
    }
    lastEventNanos = now;
    String[] tokens = event.substring(begin, end).split(",");
    for (String token : tokens) {
      checkToken(token.replace("\"", "").trim());
    }
    statistics.recordTokens(tokens.length);
  }

  private void checkToken(String token) {
    int colon = token.indexOf(':');
    String tokenGeneration = token.substring(0, Math.max(0, colon));
    if (nextToken == 0) {
      generation = tokenGeneration;
    }
    boolean expected =
        tokenGeneration.equals(generation)
            && token.substring(colon + 1).equals(Integer.toString(nextToken));
    nextToken++;
    if (!expected && !finished) {
      finished = true;
      statistics.recordFaulty();
    }
  }
}
