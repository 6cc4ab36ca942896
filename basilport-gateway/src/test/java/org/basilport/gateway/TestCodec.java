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
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.basilport.gateway.message.CallerRequest;
import org.basilport.gateway.message.ForwardingDetails;
import org.basilport.gateway.message.GenerationSize;
import org.basilport.gateway.message.MessageCodec;
import org.basilport.gateway.message.MoveResult;
import org.basilport.gateway.message.ServerNotice;
import org.basilport.gateway.message.ServerResponse;

/** Codec with its own header names, for tests without a deployment. */
public final class TestCodec implements MessageCodec {

  @Override
  public CallerRequest decodeRequest(HttpRequest head, byte[] body) {
    HttpHeaders headers = head.headers();
    Optional<GenerationSize> generationSize =
        Optional.ofNullable(headers.get("tokens"))
            .map(tokens -> new GenerationSize(Integer.parseInt(tokens), 100, OptionalInt.empty()));
    return new CallerRequest(
        headers.get("id", ""),
        head.method().name(),
        head.uri(),
        headers.get("host", ""),
        new DefaultHttpHeaders(),
        body,
        Optional.ofNullable(headers.get("patience"))
            .map(millis -> Duration.ofMillis(Long.parseLong(millis))),
        Optional.ofNullable(headers.get("key")),
        generationSize,
        headers.contains("parts") ? List.of(headers.get("parts").split(",")) : List.of(),
        Optional.ofNullable(headers.get("after")),
        Optional.ofNullable(headers.get("resumes")));
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
    details.kvCache().ifPresent(kvCache -> message.headers().set("memory", kvCache.handle()));
    message.headers().set("content-length", request.body().length);
    return message;
  }

  @Override
  public AsciiString requestIdHeader() {
    return AsciiString.of("id");
  }

  @Override
  public ServerResponse decodeResponse(HttpResponse head) {
    HttpHeaders headers = head.headers();
    return new ServerResponse(
        Optional.ofNullable(headers.get("id")),
        head.status().code(),
        headers.contains("seal"),
        headers.contains("not-run"),
        false,
        OptionalInt.empty(),
        headers.contains("limit")
            ? OptionalDouble.of(Double.parseDouble(headers.get("limit")))
            : OptionalDouble.empty(),
        headers.contains("connection"),
        OptionalInt.of(30),
        new ServerNotice(
            headers.contains("leaves"),
            Optional.ofNullable(headers.get("pause"))
                .map(seconds -> Duration.ofNanos(Math.round(Double.parseDouble(seconds) * 1e9)))));
  }

  @Override
  public HttpHeaders responseHeaders(HttpResponse head) {
    HttpHeaders headers = new DefaultHttpHeaders();
    head.headers().getAll("seal").forEach(seal -> headers.add("seal", seal));
    return headers;
  }

  @Override
  public void addRetryAfter(HttpHeaders headers, double seconds) {
    headers.set("retry-after", seconds);
  }

  @Override
  public FullHttpRequest encodeMoveRequest(
      String generationId, String targetAddress, boolean finalCopy, String serverAddress) {
    FullHttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.POST, "/move/" + generationId + "/" + finalCopy);
    message.headers().set("id", generationId);
    message.headers().set("target", targetAddress);
    message.headers().set("content-length", 0);
    return message;
  }

  @Override
  public MoveResult decodeMoveResult(int status, byte[] body) {
    String handle = new String(body, StandardCharsets.UTF_8);
    return new MoveResult(status, handle.isEmpty() ? Optional.empty() : Optional.of(handle));
  }
}
