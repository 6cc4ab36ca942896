package org.basilport.answer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decodes responses, and reports a failure where a response does not begin with a valid {@link
 * StatusLine}, or where its bytes hold the beginning of another one.
 *
 * <p>A faulty server may stop anywhere in a response and then send another one. The framing of the
 * first response then takes bytes of the second one for its own: a header field ends with its
 * status line, or the body holds its head. A head that holds two status lines is never valid. A
 * body may hold the text of a head; it is taken for another response if that head names a request,
 * if that response ends where the body ends, or if further bytes follow the end of the body. For
 * this the end of such a body is held back for a short time.
 *
 * <p>As with other decoders, a failure is the {@link DecoderResult} of a message. No message
 * follows it.
 */
public final class SingleResponseDecoder extends HttpResponseDecoder {
  /**
   * Time for which the end of a body is held back whose last byte may begin a status line, as many
   * last bytes do.
   */
  private static final long SHORT_HOLD_MILLIS = 20;

  /** Time for which the end of other bodies is held back; a lost packet is sent again within it. */
  private static final long LONG_HOLD_MILLIS = 250;

  private final TextMatcher headMatcher = TextMatcher.statusLine();
  private final EmbeddedResponseDetector bodyDetector;
  private boolean headRead;
  private final StatusLine statusLine = new StatusLine();
  private int headBytes;
  private boolean failed;
  private boolean contentDiscarded;
  private boolean answersHeadRequest;
  private Optional<Object> heldEnd = Optional.empty();
  private boolean heldWithinHead;
  private ScheduledFuture<?> holdTimer;

  /**
   * Creates a decoder for one connection.
   *
   * @param requestIdHeader header in which each response names its request; empty if there is none
   */
  public SingleResponseDecoder(Optional<AsciiString> requestIdHeader) {
    this.bodyDetector = new EmbeddedResponseDetector(requestIdHeader);
  }

  /** Sets whether the next response answers a HEAD request, and so has no body. */
  public void expectNoContent(boolean headRequest) {
    answersHeadRequest = headRequest;
  }

  /**
   * Tells that the content of the current response is not used. The end of its body is not held
   * back; another response within it is still a failure.
   */
  public void discardContent() {
    contentDiscarded = true;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return answersHeadRequest || super.isContentAlwaysEmpty(message);
  }

  /** Whether bytes were received that belong to no decoded message. */
  public boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output)
      throws Exception {
    if (failed) {
      input.skipBytes(input.readableBytes());
      return;
    }
    if (heldEnd.isPresent()) {
      input.skipBytes(input.readableBytes());
      fail(output, "further bytes follow a body that holds the head of another response");
      return;
    }
    int start = input.readerIndex();
    super.decode(context, input, output);
    Optional<String> problem = inspect(input, start);
    if (problem.isPresent()) {
      fail(output, problem.get());
      return;
    }
    if (!output.isEmpty()) {
      trackResponse(context, input, output);
    }
  }

  /** Inspects the bytes that were decoded. */
  private Optional<String> inspect(ByteBuf input, int start) {
    int end = input.readerIndex();
    if (headRead) {
      return bodyDetector.accept(input, start, end)
          ? Optional.of("the body holds the head of another response")
          : Optional.empty();
    }
    return input.forEachByte(start, end - start, this::acceptHeadByte) >= 0
        ? Optional.of(
            statusLine.valid()
                ? "the head holds another status line"
                : "the head does not begin with a valid status line")
        : Optional.empty();
  }

  private boolean acceptHeadByte(byte value) {
    if (headBytes == 0 && (value == '\r' || value == '\n')) {
      return true;
    }
    headBytes++;
    boolean repeated = headMatcher.accept(value) && headBytes != headMatcher.length();
    return statusLine.accept(value) && !repeated;
  }

  private void trackResponse(ChannelHandlerContext context, ByteBuf input, List<Object> output) {
    headRead |= output.get(0) instanceof HttpResponse;
    Object last = output.get(output.size() - 1);
    failed = !(last instanceof HttpObject) || ((HttpObject) last).decoderResult().isFailure();
    if (failed || !(last instanceof LastHttpContent)) {
      return;
    }
    if (bodyDetector.endsWithResponse()) {
      fail(output, "the body ends with another response");
    } else if (bodyDetector.suspected() && input.isReadable() && !contentDiscarded) {
      fail(output, "further bytes follow a body that holds the head of another response");
    } else if (bodyDetector.suspected() && !contentDiscarded) {
      output.remove(last);
      hold(context, last);
    }
    headRead = false;
    contentDiscarded = false;
    headBytes = 0;
    statusLine.reset();
    headMatcher.reset();
    bodyDetector.reset();
  }

  private void hold(ChannelHandlerContext context, Object end) {
    heldEnd = Optional.of(end);
    heldWithinHead = bodyDetector.endsWithinHead();
    long holdMillis = bodyDetector.endsInFirstByte() ? SHORT_HOLD_MILLIS : LONG_HOLD_MILLIS;
    holdTimer =
        context.executor().schedule(() -> releaseEnd(context), holdMillis, TimeUnit.MILLISECONDS);
    context.read();
  }

  private void releaseEnd(ChannelHandlerContext context) {
    heldEnd.ifPresent(
        end -> {
          heldEnd = Optional.empty();
          context.fireChannelRead(end);
          context.fireChannelReadComplete();
        });
  }

  private void fail(List<Object> output, String reason) {
    failed = true;
    output.forEach(ReferenceCountUtil::release);
    output.clear();
    heldEnd.ifPresent(ReferenceCountUtil::release);
    heldEnd = Optional.empty();
    HttpMessage invalid = createInvalidMessage();
    invalid.setDecoderResult(DecoderResult.failure(new MixedResponseException(reason)));
    output.add(invalid);
  }

  @Override
  protected void decodeLast(ChannelHandlerContext context, ByteBuf input, List<Object> output)
      throws Exception {
    boolean failedBefore = failed;
    super.decodeLast(context, input, output);
    if (failed) {
      // The end of the connection ends a body that has failed, too.
      output.removeIf(message -> failedBefore || message == LastHttpContent.EMPTY_LAST_CONTENT);
      return;
    }
    if (output.isEmpty()) {
      return;
    }
    // The end of the connection is the end of a body without a length.
    if (headRead && bodyDetector.endsWithConnection()) {
      fail(output, "the body ends with another response");
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) throws Exception {
    if (heldEnd.isPresent() && heldWithinHead) {
      List<Object> output = new ArrayList<>();
      fail(output, "the connection closed within the head of another response");
      output.forEach(context::fireChannelRead);
    } else {
      releaseEnd(context);
    }
    super.channelInactive(context);
  }

  @Override
  protected void handlerRemoved0(ChannelHandlerContext context) throws Exception {
    if (holdTimer != null) {
      holdTimer.cancel(false);
    }
    heldEnd.ifPresent(ReferenceCountUtil::release);
    heldEnd = Optional.empty();
    super.handlerRemoved0(context);
  }
}
