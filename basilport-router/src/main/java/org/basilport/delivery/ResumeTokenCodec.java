package org.basilport.delivery;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.time.Instant;
import java.util.Arrays;
import java.util.Base64;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.basilport.error.FailureCode;
import org.basilport.error.RejectedException;
import org.basilport.error.Step;

/** Signs and verifies resume tokens with HMAC-SHA-256 and a key derived from the cluster key. */
public final class ResumeTokenCodec {
  private static final String ALGORITHM = "HmacSHA256";
  private static final int SIGNATURE_BYTES = 32;
  private static final int FORMAT = 1;
  private static final int MAX_TOKEN_CHARACTERS = 2_048;

  private final SecretKeySpec key;

  /** Cached per thread: provider lookup and key setup cost more than signing a short token. */
  private final ThreadLocal<Mac> mac = ThreadLocal.withInitial(this::createMac);

  /** Creates a codec; all instances of the cluster share the key. */
  public ResumeTokenCodec(String clusterKey) {
    // Domain separation from the other uses of the cluster key.
    byte[] secret = ("resume-token:" + clusterKey).getBytes(StandardCharsets.UTF_8);
    this.key = new SecretKeySpec(secret, ALGORITHM);
  }

  /** Returns the signed token, in base64url without padding. */
  public String encode(ResumeToken token) {
    byte[] body = body(token);
    byte[] signed = Arrays.copyOf(body, body.length + SIGNATURE_BYTES);
    System.arraycopy(sign(body), 0, signed, body.length, SIGNATURE_BYTES);
    return Base64.getUrlEncoder().withoutPadding().encodeToString(signed);
  }

  /**
   * Verifies and decodes a token.
   *
   * @param workspace workspace to which the token must belong
   * @throws RejectedException MALFORMED, FORBIDDEN (wrong signature or another workspace), or
   *     EXPIRED
   */
  public ResumeToken decode(String text, String workspace, Instant now) {
    byte[] signed = decodeBase64(text);
    int length = signed.length - SIGNATURE_BYTES;
    byte[] body = Arrays.copyOf(signed, length);
    byte[] signature = Arrays.copyOfRange(signed, length, signed.length);
    if (!MessageDigest.isEqual(signature, sign(body))) {
      throw rejected(FailureCode.FORBIDDEN, "the resume token was not signed by this cluster");
    }
    ResumeToken token = parse(body);
    if (!token.workspace().equals(workspace)) {
      throw rejected(FailureCode.FORBIDDEN, "the resume token belongs to another workspace");
    }
    if (now.getEpochSecond() > token.expiresAtSeconds()) {
      throw rejected(FailureCode.EXPIRED, "the resume token has expired");
    }
    return token;
  }

  private static byte[] decodeBase64(String text) {
    if (text.length() > MAX_TOKEN_CHARACTERS) {
      throw rejected(FailureCode.MALFORMED, "the resume token is too long");
    }
    try {
      byte[] signed = Base64.getUrlDecoder().decode(text);
      if (signed.length > SIGNATURE_BYTES) {
        return signed;
      }
    } catch (IllegalArgumentException ignored) {
      // Reported below, together with tokens that are too short.
    }
    throw rejected(FailureCode.MALFORMED, "the resume token is malformed");
  }

  private static byte[] body(ResumeToken token) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeByte(FORMAT);
      out.writeUTF(token.workspace());
      out.writeUTF(token.service());
      out.writeUTF(token.serverId());
      out.writeLong(token.incarnation());
      out.writeUTF(token.generationId());
      out.writeLong(token.nextOffset());
      out.writeUTF(token.fingerprint());
      out.writeLong(token.expiresAtSeconds());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  private static ResumeToken parse(byte[] body) {
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(body))) {
      if (in.readByte() != FORMAT) {
        throw rejected(FailureCode.MALFORMED, "the resume token has an unknown format");
      }
      return new ResumeToken(
          in.readUTF(),
          in.readUTF(),
          in.readUTF(),
          in.readLong(),
          in.readUTF(),
          in.readLong(),
          in.readUTF(),
          in.readLong());
    } catch (IOException e) {
      throw rejected(FailureCode.MALFORMED, "the resume token is truncated");
    }
  }

  private byte[] sign(byte[] body) {
    return mac.get().doFinal(body);
  }

  private Mac createMac() {
    try {
      Mac created = Mac.getInstance(ALGORITHM);
      created.init(key);
      return created;
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("HMAC-SHA-256 is not available", e);
    }
  }

  private static RejectedException rejected(FailureCode code, String message) {
    return new RejectedException(code, Step.AUTHENTICATE, message);
  }
}
