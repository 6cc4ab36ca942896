package org.basilport.json;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TolerantJsonReaderTest {
  private static final int LEVELS = 3;
  private static final int DEPTH = 300_000;
  private static final int DIGITS = 5_000;

  private final TolerantJsonReader reader =
      new TolerantJsonReader(new ObjectMapper(), LEVELS, Set.of("whole"));

  private JsonNode read(String text) throws IOException {
    return reader.read(text.getBytes(StandardCharsets.UTF_8));
  }

  private static String deep() {
    return "[".repeat(DEPTH) + "]".repeat(DEPTH);
  }

  @Nested
  class UnreadableValues {
    /** Guards against losing a list because one of its elements is nested too deeply. */
    @Test
    void costOnlyThemselves() throws IOException {
      JsonNode body =
          read("{\"list\": [{\"a\": 1}, {\"a\": " + deep() + ", \"b\": \"}]\\\"\"} , 3]}");

      assertThat(body.path("list").path(0).path("a").asInt()).isEqualTo(1);
      assertThat(body.path("list").path(1).path("a").isNull()).isTrue();
      assertThat(body.path("list").path(1).path("b").asText()).isEqualTo("}]\"");
      assertThat(body.path("list").path(2).asInt()).isEqualTo(3);
    }

    /** Guards against losing a list because of a number that is too long. */
    @ParameterizedTest
    @ValueSource(strings = {"", "-", "0.", "1e"})
    void mayBeNumbers(String prefix) throws IOException {
      JsonNode body = read("[{\"a\": " + prefix + "1".repeat(DIGITS) + "}, {\"a\": 2}]");

      assertThat(body.path(0).path("a").isNull()).isTrue();
      assertThat(body.path(1).path("a").asInt()).isEqualTo(2);
    }

    /** Guards against an object that is read without one of its fields. */
    @Test
    void costAnIndivisibleMember() throws IOException {
      JsonNode body = read("{\"whole\": {\"a\": 1, \"b\": " + deep() + "}, \"name\": \"n\"}");

      assertThat(body.path("whole").isNull()).isTrue();
      assertThat(body.path("name").asText()).isEqualTo("n");
    }

    /** Guards against work without end in the levels that no reader looks at. */
    @Test
    void costTheLastLevelThatIsDivided() throws IOException {
      JsonNode body = read("[[[[1, " + deep() + "], 2], 3], 4]");

      assertThat(body.path(0).path(0).path(0).isNull()).isTrue();
      assertThat(body.path(0).path(0).path(1).asInt()).isEqualTo(2);
    }

    /** Guards against names that exceed the limit of the parser. */
    @Test
    void mayBeNames() throws IOException {
      JsonNode body = read("{\"" + "n".repeat(100_000) + "\": 1, \"a\": 2}");

      assertThat(body.path("a").asInt()).isEqualTo(2);
    }
  }

  @Nested
  class Texts {
    @Test
    void areReadAsUsualIfNothingIsUnreadable() throws IOException {
      assertThat(read(" {\"a\": [1, true, null]} ").toString()).isEqualTo("{\"a\":[1,true,null]}");
    }

    @ParameterizedTest
    @ValueSource(strings = {"{\"a\": ", "[1, 2", "{\"a\" 1}", "no JSON", "{\"a\": 1}{}", "[1] x"})
    void areRefusedIfTheyAreNoJson(String text) {
      assertThrows(IOException.class, () -> read(text));
    }

    @ParameterizedTest
    @ValueSource(
        strings = {
          "{\"a\": %s",
          "[%s, 2",
          "{\"a\" 1, \"b\": %s}",
          "[1 2, %s]",
          "{\"a\": %s}{}",
          "[1, %s] x"
        })
    void areRefusedIfTheyAreNoJsonBesideAnUnreadableValue(String text) {
      assertThrows(IOException.class, () -> read(String.format(text, deep())));
    }
  }
}
