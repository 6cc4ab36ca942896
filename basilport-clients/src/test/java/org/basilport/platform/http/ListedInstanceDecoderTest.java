package org.basilport.platform.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.basilport.platform.ListedInstance;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ListedInstanceDecoderTest {
  private static final String SOUND =
      "{\"id\":\"i-1\",\"kind\":\"BACKEND\",\"service\":\"s\",\"region\":\"r\","
          + "\"dataCentre\":\"d\",\"address\":\"10.0.0.1:80\",\"peerAddress\":\"\","
          + "\"state\":\"LIVE\",\"incarnation\":7}";

  private static List<ListedInstance> decode(String text) {
    return ListedInstanceDecoder.decodeAll(text.getBytes(StandardCharsets.UTF_8));
  }

  private static String deep() {
    return "[".repeat(100_000) + "]".repeat(100_000);
  }

  /** Guards against a list that is lost because of one entry that another writer corrupted. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "\"incarnation\":99999999999999999999999",
        "\"incarnation\":null",
        "\"state\":\"ASLEEP\"",
        "\"kind\":5",
        "\"address\":\"10.0.0.1:99999\"",
        "\"address\":\"10.0.0.1:\"",
        "\"service\":{}",
        "\"id\":null",
        "\"other\":DEEP",
        "\"incarnation\":DIGITS"
      })
  void leavesOutOneOddEntry(String field) {
    String name = field.substring(0, field.indexOf(':'));
    String odd =
        SOUND
            .replaceAll(name + ":[^,}]*", field)
            .replace("}", name.equals("\"other\"") ? "," + field + "}" : "}")
            .replace("DEEP", deep())
            .replace("DIGITS", "9".repeat(5_000));

    assertThat(decode("[" + odd + "," + SOUND + "]")).hasSize(1);
  }

  @Test
  void readsAnEntry() {
    ListedInstance instance = decode("[" + SOUND + "]").get(0);
    assertThat(instance.id()).isEqualTo("i-1");
    assertThat(instance.incarnation()).isEqualTo(7);
  }

  /** Guards against an empty list in place of a failed call. */
  @Test
  void refusesABodyThatIsNoList() {
    assertThrows(UncheckedIOException.class, () -> decode("{}"));
    assertThrows(UncheckedIOException.class, () -> decode("["));
  }
}
