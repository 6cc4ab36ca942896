package org.basilport.config;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigurationTransferTest {
  private static byte[] bytes(String text) {
    return text == null ? new byte[0] : text.getBytes(StandardCharsets.UTF_8);
  }

  // Guards against wrongly decoded bodies where the common prefix and suffix meet or overlap.
  @ParameterizedTest
  @CsvSource({"abcabc,abc", "abc,abcabc", "aXb,aYb", "aaaa,aa", "same,same", "whole,", "ab,ba"})
  void decodesEncodedBody(String body, String base) {
    byte[] transfer = ConfigurationTransfer.encode(bytes(body), bytes(base));
    assertThat(ConfigurationTransfer.decode(transfer, bytes(base))).isEqualTo(bytes(body));
  }

  // Guards against a body decoded with a base other than the one used for encoding.
  @Test
  void rejectsDifferentBase() {
    byte[] transfer = ConfigurationTransfer.encode(bytes("one two three"), bytes("one 2 three"));
    assertThrows(
        InvalidConfigurationException.class,
        () -> ConfigurationTransfer.decode(transfer, bytes("ONE 2 three")));
    assertThrows(
        InvalidConfigurationException.class,
        () -> ConfigurationTransfer.decode(transfer, bytes("")));
  }

  // Guards against transfers whose size depends on the configuration instead of the change.
  @Test
  void smallChangeGivesSmallTransfer() {
    byte[] base = bytes("workspace ".repeat(50_000) + "weight 1" + "workspace ".repeat(50_000));
    byte[] body = bytes("workspace ".repeat(50_000) + "weight 2" + "workspace ".repeat(50_000));
    assertThat(ConfigurationTransfer.encode(body, base).length).isLessThan(50);
  }
}
