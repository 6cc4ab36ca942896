package org.basilport.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Reads and writes JSON; unknown fields are ignored. */
public final class Json {
  private static final ObjectMapper MAPPER =
      new ObjectMapper()
          .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
          .configure(DeserializationFeature.FAIL_ON_TRAILING_TOKENS, true);

  private Json() {}

  /** Writes a value as JSON text. */
  public static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Writes a value as UTF-8 JSON. */
  public static byte[] bytes(Object value) {
    return write(value).getBytes(StandardCharsets.UTF_8);
  }

  /** Parses a value; throws {@code UncheckedIOException} if the text does not match the type. */
  public static <T> T read(String text, Class<T> type) {
    try {
      return MAPPER.readValue(text, type);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Parses a value of a generic type; throws like {@link #read(String, Class)}. */
  public static <T> T read(String text, TypeReference<T> type) {
    try {
      return MAPPER.readValue(text, type);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Parses a value; returns empty if the text does not match the type. */
  public static <T> Optional<T> tryRead(String text, Class<T> type) {
    try {
      return Optional.ofNullable(MAPPER.readValue(text, type));
    } catch (JsonProcessingException ignored) {
      return Optional.empty();
    }
  }
}
