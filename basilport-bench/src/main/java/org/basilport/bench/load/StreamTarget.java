package org.basilport.bench.load;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.basilport.daemon.http.Json;
import org.basilport.delivery.GenerationRequest;
import org.basilport.engine.EngineRequest;
import org.basilport.engine.http.CompletionRequest;

/** Addresses and request format of one path. */
interface StreamTarget {
  /** Returns the address to which a request is sent. */
  InetSocketAddress address(long number);

  /** Returns a request for a number of tokens. */
  FullHttpRequest request(long number, int tokens);

  /** Returns the caller interface of a daemon. */
  static StreamTarget daemon(String address) {
    return new StreamTarget() {
      @Override
      public InetSocketAddress address(long number) {
        return socketAddress(address);
      }

      @Override
      public FullHttpRequest request(long number, int tokens) {
        String body =
            Json.write(
                new GenerationRequest(LoadDeployment.STREAM_ROUTE, prompt(number, tokens), tokens));
        FullHttpRequest request = post(address, "/v1/generations", body);
        request.headers().set("Basilport-Workspace", LoadDeployment.WORKSPACE);
        request.headers().set("Authorization", "Bearer " + LoadDeployment.WORKSPACE_KEY);
        return request;
      }
    };
  }

  /** Returns the engines themselves, selected round robin. */
  static StreamTarget direct(List<String> engines) {
    return new StreamTarget() {
      private String engine(long number) {
        return engines.get((int) (number % engines.size()));
      }

      @Override
      public InetSocketAddress address(long number) {
        return socketAddress(engine(number));
      }

      @Override
      public FullHttpRequest request(long number, int tokens) {
        EngineRequest request =
            new EngineRequest(
                "direct-" + number, LoadDeployment.WORKSPACE, prompt(number, tokens), tokens, 0);
        return post(engine(number), "/v1/completions", Json.write(CompletionRequest.of(request)));
      }
    };
  }

  private static InetSocketAddress socketAddress(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  /** Returns a prompt with the output length, which stand-in engines read from the prompt. */
  private static String prompt(long number, int tokens) {
    return "core box " + number + " length=" + tokens;
  }

  private static FullHttpRequest post(String host, String path, String body) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, path);
    request.content().writeBytes(body.getBytes(StandardCharsets.UTF_8));
    request.headers().set("Host", host);
    request.headers().set("Content-Type", "application/json");
    request.headers().setInt("Content-Length", request.content().readableBytes());
    return request;
  }
}
