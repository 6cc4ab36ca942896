package org.basilport.config;

import com.google.common.hash.Hashing;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/**
 * Delta encoding of configurations sent between instances: the compressed bytes between the first
 * and the last difference from a base that the receiver has, with a hash of the whole body.
 *
 * <p>Most changes affect one workspace. Sending the whole configuration of 4,900 workspaces for
 * each of 2,000 changes a day would by itself exceed the limit for control traffic.
 */
final class ConfigurationTransfer {
  private static final int MAX_BODY_BYTES = 64_000_000;

  private ConfigurationTransfer() {}

  /**
   * Encodes a body.
   *
   * @param base body that the receiver has, empty for none
   */
  static byte[] encode(byte[] body, byte[] base) {
    int shorter = Math.min(body.length, base.length);
    int mismatch = Arrays.mismatch(body, base);
    int prefixLength = mismatch < 0 ? shorter : mismatch;
    int suffixLength = 0;
    while (suffixLength < shorter - prefixLength
        && body[body.length - 1 - suffixLength] == base[base.length - 1 - suffixLength]) {
      suffixLength++;
    }
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeInt(prefixLength);
      out.writeInt(suffixLength);
      out.writeInt(body.length - prefixLength - suffixLength);
      out.writeLong(hash(body));
      try (DeflaterOutputStream deflater = new DeflaterOutputStream(out)) {
        deflater.write(body, prefixLength, body.length - prefixLength - suffixLength);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  /**
   * Decodes a body; fails with {@link InvalidConfigurationException} if the transfer is corrupt or
   * was encoded for a different base.
   */
  static byte[] decode(byte[] transfer, byte[] base) {
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(transfer))) {
      int prefixLength = in.readInt();
      int suffixLength = in.readInt();
      int changedLength = in.readInt();
      long expectedHash = in.readLong();
      boolean valid =
          prefixLength >= 0
              && suffixLength >= 0
              && changedLength >= 0
              && changedLength <= MAX_BODY_BYTES
              && (long) prefixLength + suffixLength <= base.length;
      if (!valid) {
        throw invalid();
      }
      byte[] body = Arrays.copyOf(base, prefixLength + changedLength + suffixLength);
      byte[] changed = new InflaterInputStream(in).readNBytes(changedLength);
      if (changed.length != changedLength) {
        throw invalid();
      }
      System.arraycopy(changed, 0, body, prefixLength, changedLength);
      System.arraycopy(
          base, base.length - suffixLength, body, prefixLength + changedLength, suffixLength);
      if (hash(body) != expectedHash) {
        throw invalid();
      }
      return body;
    } catch (IOException e) {
      throw invalid();
    }
  }

  private static long hash(byte[] body) {
    return Hashing.farmHashFingerprint64().hashBytes(body).asLong();
  }

  private static InvalidConfigurationException invalid() {
    return new InvalidConfigurationException(
        List.of(
            ConfigurationProblem.at(
                "",
                "the transferred configuration is corrupt or was encoded for a different base")));
  }
}
