package org.basilport.daemon.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.RejectedException;
import org.basilport.error.Step;
import org.basilport.error.UnavailableException;

/**
 * Reads and writes the JSON bodies of the HTTP API; unknown and missing fields in requests are
 * rejected.
 */
public final class Json {
  private static final ObjectMapper STRICT_MAPPER =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .disable(StreamReadFeature.INCLUDE_SOURCE_IN_LOCATION)
          .build();

  private static final ObjectMapper LENIENT_MAPPER =
      JsonMapper.builder()
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .disable(StreamReadFeature.INCLUDE_SOURCE_IN_LOCATION)
          .build();

  private Json() {}

  /** Writes a value as JSON on one line. */
  public static String write(Object value) {
    try {
      return STRICT_MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("value cannot be written as JSON", e);
    }
  }

  /** Writes a value as indented JSON. */
  public static String writeIndented(Object value) {
    try {
      return STRICT_MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("value cannot be written as JSON", e);
    }
  }

  /**
   * Parses JSON into a tree. Throws {@code RejectedException} with code MALFORMED if the text is
   * not JSON.
   */
  public static JsonNode tree(String text) {
    return read(text, JsonNode.class);
  }

  /**
   * Parses a request body. Throws {@code RejectedException} with code MALFORMED if it does not
   * match the type; the message names the position and an unknown field.
   */
  public static <T> T read(String text, Class<T> type) {
    try {
      T value = STRICT_MAPPER.readValue(text, type);
      if (value == null) {
        throw malformed("the body is null");
      }
      return value;
    } catch (UnrecognizedPropertyException e) {
      throw malformed("unknown field '" + e.getPropertyName() + "'" + locationSuffix(e));
    } catch (JsonProcessingException e) {
      throw malformed("malformed JSON: " + e.getOriginalMessage() + locationSuffix(e));
    }
  }

  /**
   * Parses a response of an instance, which may contain fields added by a later version. Throws
   * {@code UnavailableException} if it does not match the type; the call may have run.
   *
   * @param peer address of the instance
   */
  public static <T> T readResponse(String text, Class<T> type, String peer) {
    try {
      T value = LENIENT_MAPPER.readValue(text, type);
      if (value == null) {
        throw malformedResponse(peer, "the body is null", null);
      }
      return value;
    } catch (JsonProcessingException e) {
      throw malformedResponse(peer, e.getOriginalMessage() + locationSuffix(e), e);
    }
  }

  private static UnavailableException malformedResponse(
      String peer, String problem, JsonProcessingException cause) {
    return new UnavailableException(
        FailureCode.PEER_UNAVAILABLE,
        Outcome.MAY_HAVE_RUN,
        Step.PARSE,
        peer,
        null,
        "malformed response: " + problem,
        cause);
  }

  private static String locationSuffix(JsonProcessingException e) {
    return e.getLocation() == null
        ? ""
        : " at line " + e.getLocation().getLineNr() + ", column " + e.getLocation().getColumnNr();
  }

  private static RejectedException malformed(String message) {
    return new RejectedException(FailureCode.MALFORMED, Step.PARSE, message);
  }
}
