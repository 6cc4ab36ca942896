package org.basilport.bench.load;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;

/**
 * Reads one stream of server-sent events and checks that its tokens are whole, in order and of one
 * generation. The stand-in engines name generation and number in the text of each token, so the
 * check is the same with and without the daemon.
 */
final class StreamReading extends SimpleChannelInboundHandler<HttpObject> {
  private static final int OK = 200;
  private static final String TOKENS = "\"tokens\":[";

  private final StreamStatistics statistics;
  private final long plannedNanos;
  private final int wanted;
  private final StringBuilder buffer = new StringBuilder();
  private String generation = "";
  private int next;
  private long lastNanos;
  private boolean finished;

  StreamReading(StreamStatistics statistics, long plannedNanos, int wanted) {
    this.statistics = statistics;
    this.plannedNanos = plannedNanos;
    this.wanted = wanted;
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
      statistics.failed();
    }
  }

  private void readEvents(ChannelHandlerContext context) {
    int end = buffer.indexOf("\n\n");
    while (end >= 0 && !finished) {
      String event = buffer.substring(0, end);
      buffer.delete(0, end + 2);
      read(event);
      end = buffer.indexOf("\n\n");
    }
    if (finished) {
      context.close();
    }
  }

  private void read(String event) {
    if (event.contains("event: end") || event.contains("data: [DONE]")) {
      finished = true;
      if (next == wanted) {
        statistics.completed();
      } else {
        statistics.faulty();
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
    if (next == 0) {
      statistics.firstToken(now - plannedNanos);
    } else {
      statistics.nextToken(now - lastNanos);
    }
    lastNanos = now;
    String[] tokens = event.substring(begin, end).split(",");
    for (String token : tokens) {
      check(token.replace("\"", "").trim());
    }
    statistics.tokens(tokens.length);
  }

  private void check(String token) {
    int colon = token.indexOf(':');
    String owner = token.substring(0, Math.max(0, colon));
    if (next == 0) {
      generation = owner;
    }
    boolean expected =
        owner.equals(generation) && token.substring(colon + 1).equals(Integer.toString(next));
    next++;
    if (!expected && !finished) {
      finished = true;
      statistics.faulty();
    }
  }
}
