package org.basilport.gateway;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import org.basilport.gateway.message.CallerRequest;
import org.basilport.gateway.message.ForwardingDetails;
import org.basilport.gateway.message.MessageCodec;
import org.basilport.gateway.message.MoveResult;
import org.basilport.gateway.message.Prompt;
import org.basilport.gateway.message.ServerAnswer;

/** A codec with header names of its own, for tests without a deployment. */
public final class TestCodec implements MessageCodec {

  @Override
  public CallerRequest decodeRequest(HttpRequest head, byte[] body) {
    HttpHeaders headers = head.headers();
    Optional<Prompt> prompt =
        Optional.ofNullable(headers.get("tokens"))
            .map(tokens -> new Prompt(Integer.parseInt(tokens), 100, OptionalInt.empty()));
    return new CallerRequest(
        headers.get("id", ""),
        head.method().name(),
        head.uri(),
        headers.get("host", ""),
        new DefaultHttpHeaders(),
        body,
        Optional.ofNullable(headers.get("patience")).map(p -> Duration.ofMillis(Long.parseLong(p))),
        Optional.ofNullable(headers.get("key")),
        prompt,
        Optional.empty());
  }

  @Override
  public FullHttpRequest encodeRequest(
      CallerRequest request, ForwardingDetails details, String serverAddress) {
    FullHttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(request.method()),
            request.target(),
            Unpooled.wrappedBuffer(request.body()));
    message.headers().set("id", request.id());
    message.headers().set("server", details.serverId());
    details.workspace().ifPresent(name -> message.headers().set("workspace", name));
    details.lastEventId().ifPresent(id -> message.headers().set("after", id));
    details.memory().ifPresent(memory -> message.headers().set("memory", memory.handle()));
    message.headers().set("content-length", request.body().length);
    return message;
  }

  @Override
  public ServerAnswer decodeAnswer(HttpResponse head) {
    HttpHeaders headers = head.headers();
    return new ServerAnswer(
        Optional.ofNullable(headers.get("id")),
        head.status().code(),
        headers.contains("seal"),
        headers.contains("not-run"),
        false,
        OptionalInt.empty(),
        headers.contains("connection"),
        OptionalInt.of(30));
  }

  @Override
  public HttpHeaders callerHeaders(HttpResponse head) {
    HttpHeaders headers = new DefaultHttpHeaders();
    head.headers().getAll("seal").forEach(seal -> headers.add("seal", seal));
    return headers;
  }

  @Override
  public void addRetryDelay(HttpHeaders headers, double seconds) {
    headers.set("retry-after", seconds);
  }

  @Override
  public FullHttpRequest encodeMove(
      String generationId, String targetAddress, boolean last, String serverAddress) {
    FullHttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.POST, "/move/" + generationId + "/" + last);
    message.headers().set("id", generationId);
    message.headers().set("target", targetAddress);
    message.headers().set("content-length", 0);
    return message;
  }

  @Override
  public MoveResult decodeMove(int status, byte[] body) {
    String handle = new String(body, StandardCharsets.UTF_8);
    return new MoveResult(status, handle.isEmpty() ? Optional.empty() : Optional.of(handle));
  }
}
