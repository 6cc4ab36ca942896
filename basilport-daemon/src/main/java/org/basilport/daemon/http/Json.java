package org.basilport.daemon.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.basilport.error.FailureCode;
import org.basilport.error.RejectedException;
import org.basilport.error.Step;

/** Reads and writes the JSON bodies of the interface; unknown and missing fields are refused. */
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
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  private Json() {}

  /** Writes a value. */
  public static String write(Object value) {
    try {
      return STRICT_MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("value cannot be written as JSON", e);
    }
  }

  /** Writes a value on several lines. */
  public static String writeIndented(Object value) {
    try {
      return STRICT_MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("value cannot be written as JSON", e);
    }
  }

  /** Reads a tree. Fails with MALFORMED when the text is not JSON. */
  public static JsonNode tree(String text) {
    return read(text, JsonNode.class);
  }

  /** Reads a value. Fails with MALFORMED; the message names line and field. */
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

  /** Reads an instance's answer, which may hold fields that a later version added. */
  public static <T> T readResponse(String text, Class<T> type) {
    try {
      return LENIENT_MAPPER.readValue(text, type);
    } catch (JsonProcessingException e) {
      throw malformed("malformed answer: " + e.getOriginalMessage() + locationSuffix(e));
    }
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
