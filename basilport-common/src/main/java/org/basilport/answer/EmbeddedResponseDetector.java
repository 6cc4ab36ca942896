package org.basilport.answer;

import com.google.common.primitives.Longs;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.util.AsciiString;
import java.util.Optional;

/**
 * Finds another response among the bytes of a body.
 *
 * <p>A body may hold the text of a response by itself. It is another response if its head names the
 * request that it answers, or if it ends exactly where the body ends.
 */
final class EmbeddedResponseDetector {
  /** Longer lines are not kept; the fields that matter are far shorter. */
  private static final int MAX_LINE_BYTES = 256;

  /** Position that no byte of a body has. */
  private static final long UNKNOWN = -1;

  private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

  private final Optional<AsciiString> requestIdHeader;
  private final TextMatcher statusLine = TextMatcher.statusLine();
  private final TextMatcher lastChunk = new TextMatcher("0\r\n\r\n");
  private final StringBuilder line = new StringBuilder(0);
  private Part part = Part.NONE;
  private boolean carriageReturn;
  private int fields;
  private Optional<Long> length = Optional.empty();
  private boolean chunked;
  private boolean inChunks;
  private boolean headFound;
  private boolean withoutLength;

  /** Position after the response, as its head tells it; negative if it does not. */
  private long responseEnd = UNKNOWN;

  private long position;

  EmbeddedResponseDetector(Optional<AsciiString> requestIdHeader) {
    this.requestIdHeader = requestIdHeader;
  }

  /**
   * Reads the bytes of a body between two indexes; returns whether it certainly holds another
   * response.
   */
  boolean accept(ByteBuf body, int start, int end) {
    int index = start;
    while (index < end) {
      if (!suspectedAtEnd() && !inChunks) {
        int candidate = body.indexOf(index, end, statusLine.firstByte());
        if (candidate < 0) {
          break;
        }
        index = candidate;
      }
      if (accept(body.getByte(index), position + index - start)) {
        return true;
      }
      index++;
    }
    position += end - start;
    return false;
  }

  private boolean accept(byte value, long valuePosition) {
    if (inChunks && lastChunk.accept(value)) {
      inChunks = false;
      responseEnd = valuePosition + 1;
    }
    if (statusLine.accept(value)) {
      startHead();
      return false;
    }
    if (part == Part.NONE) {
      return false;
    }
    if (value != '\n') {
      carriageReturn = value == '\r';
      if (line.length() < MAX_LINE_BYTES && !carriageReturn) {
        line.append((char) value);
      }
      return false;
    }
    String ended = line.toString();
    line.setLength(0);
    if (!carriageReturn) {
      // Lines of events and of texts may end so, those of a head do not.
      part = Part.NONE;
      return false;
    }
    carriageReturn = false;
    return part == Part.STATUS_LINE ? startFields() : readField(ended, valuePosition);
  }

  private void startHead() {
    part = Part.STATUS_LINE;
    carriageReturn = false;
    line.setLength(0);
    fields = 0;
  }

  private boolean startFields() {
    part = Part.FIELDS;
    length = Optional.empty();
    chunked = false;
    return false;
  }

  private boolean readField(String field, long endPosition) {
    int colon = field.indexOf(':');
    String name = field.substring(0, Math.max(0, colon));
    if (field.isEmpty() && fields > 0) {
      headFound = true;
      withoutLength = !chunked && length.isEmpty();
      inChunks = chunked;
      lastChunk.reset();
      responseEnd =
          chunked ? UNKNOWN : length.map(bytes -> endPosition + 1 + bytes).orElse(UNKNOWN);
    }
    if (!isToken(name)) {
      part = Part.NONE;
      return false;
    }
    fields++;
    String value = field.substring(colon + 1).trim();
    if (HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name)) {
      length = Optional.ofNullable(Longs.tryParse(value));
    } else if (HttpHeaderNames.TRANSFER_ENCODING.contentEqualsIgnoreCase(name)) {
      chunked = HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(value);
    }
    return requestIdHeader.filter(header -> header.contentEqualsIgnoreCase(name)).isPresent();
  }

  private static boolean isToken(String name) {
    return !name.isEmpty()
        && name.chars()
            .allMatch(
                character ->
                    character < 128
                        && (Character.isLetterOrDigit(character)
                            || TOKEN_SYMBOLS.indexOf(character) >= 0));
  }

  /**
   * Whether the bytes read so far hold the head of another response, or end within one. More bytes
   * after the end of the body then show that they belong to another response.
   */
  boolean suspected() {
    return headFound || suspectedAtEnd();
  }

  private boolean suspectedAtEnd() {
    return part != Part.NONE || statusLine.partial();
  }

  /** Whether the bytes read so far end with a complete response. */
  boolean endsWithResponse() {
    return responseEnd == position;
  }

  /**
   * Whether the bytes read so far hold a response without a length, which ends with its connection.
   */
  boolean endsWithConnection() {
    return withoutLength;
  }

  void reset() {
    statusLine.reset();
    lastChunk.reset();
    line.setLength(0);
    part = Part.NONE;
    fields = 0;
    length = Optional.empty();
    chunked = false;
    inChunks = false;
    headFound = false;
    withoutLength = false;
    responseEnd = UNKNOWN;
    position = 0;
  }

  /** Part of a head at the end of the bytes that were read. */
  private enum Part {
    NONE,
    STATUS_LINE,
    FIELDS
  }
}
