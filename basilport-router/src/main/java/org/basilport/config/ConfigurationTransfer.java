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
 * The form in which instances send a configuration to each other: the bytes between the first and
 * the last difference from a base that the receiver has, compressed, with a hash of the whole.
 *
 * <p>Most changes touch one workspace. The whole configuration of 4,900 workspaces at 2,000 changes
 * a day would alone exceed the budget for control traffic.
 */
final class ConfigurationTransfer {
  private static final int MAX_BODY_BYTES = 64_000_000;

  private ConfigurationTransfer() {}

  /**
   * Encodes a body.
   *
   * @param base a body that the receiver has, empty for none
   */
  static byte[] encode(byte[] body, byte[] base) {
    int shorter = Math.min(body.length, base.length);
    int mismatch = Arrays.mismatch(body, base);
    int prefix = mismatch < 0 ? shorter : mismatch;
    int suffix = 0;
    while (suffix < shorter - prefix
        && body[body.length - 1 - suffix] == base[base.length - 1 - suffix]) {
      suffix++;
    }
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeInt(prefix);
      out.writeInt(suffix);
      out.writeInt(body.length - prefix - suffix);
      out.writeLong(hash(body));
      try (DeflaterOutputStream deflater = new DeflaterOutputStream(out)) {
        deflater.write(body, prefix, body.length - prefix - suffix);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  /** Decodes a body; fails when the base is not the one that it was encoded for. */
  static byte[] decode(byte[] transfer, byte[] base) {
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(transfer))) {
      int prefix = in.readInt();
      int suffix = in.readInt();
      int middle = in.readInt();
      long expected = in.readLong();
      boolean plausible =
          prefix >= 0
              && suffix >= 0
              && middle >= 0
              && middle <= MAX_BODY_BYTES
              && (long) prefix + suffix <= base.length;
      if (!plausible) {
        throw invalid();
      }
      byte[] body = Arrays.copyOf(base, prefix + middle + suffix);
      byte[] changed = new InflaterInputStream(in).readNBytes(middle);
      if (changed.length != middle) {
        throw invalid();
      }
      System.arraycopy(changed, 0, body, prefix, middle);
      System.arraycopy(base, base.length - suffix, body, prefix + middle, suffix);
      if (hash(body) != expected) {
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
        List.of(ConfigurationProblem.at("", "the transfer is damaged or has another base")));
  }
}
