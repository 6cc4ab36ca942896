package org.basilport.claim;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.basilport.error.FailureCode;
import org.basilport.error.RejectedException;
import org.basilport.error.Step;

/**
 * Idempotency key that a caller assigns to a request that is not repeatable.
 *
 * @param workspace workspace of the caller
 * @param text the key as the caller sent it
 * @param issuedSeconds issue time, in seconds since the epoch
 */
public record RequestKey(String workspace, String text, long issuedSeconds) {
  /** How long after its issue time a key is accepted. */
  public static final Duration VALIDITY = Duration.ofHours(1);

  /** Maximum amount by which a caller's clock may be ahead. */
  public static final Duration MAX_CLOCK_SKEW = Duration.ofMinutes(5);

  /** Length of a time slot; keys issued in the same slot share claim objects. */
  static final Duration SLOT_LENGTH = Duration.ofMinutes(10);

  static final int SHARDS = 16;

  private static final Pattern FORMAT = Pattern.compile("(\\d{1,12})-([A-Za-z0-9_.~-]{8,100})");

  /**
   * Parses a key and checks its issue time.
   *
   * @throws RejectedException at step CLAIM: EXPIRED if the key was issued too long ago, MALFORMED
   *     if it has the wrong form or was issued too far in the future
   */
  public static RequestKey parse(String workspace, String text, Instant now) {
    Matcher matcher = FORMAT.matcher(text);
    if (!matcher.matches()) {
      throw new RejectedException(
          FailureCode.MALFORMED,
          Step.CLAIM,
          "a request key has the form <issued epoch seconds>-<at least 8 random characters>");
    }
    long issued = Long.parseLong(matcher.group(1));
    long age = now.getEpochSecond() - issued;
    if (age > VALIDITY.toSeconds()) {
      throw new RejectedException(
          FailureCode.EXPIRED,
          Step.CLAIM,
          "the request key has expired; this attempt was not run, an earlier one may have run");
    }
    if (-age > MAX_CLOCK_SKEW.toSeconds()) {
      throw new RejectedException(
          FailureCode.MALFORMED, Step.CLAIM, "the request key was issued in the future");
    }
    return new RequestKey(workspace, text, issued);
  }

  /** Returns the name of the object that stores the claims on this key. */
  String objectName() {
    int shard = Math.floorMod(hash().hashCode(), SHARDS);
    return ClaimObject.PREFIX + issuedSeconds / SLOT_LENGTH.toSeconds() + "/" + shard;
  }

  /** Returns a hash of workspace and key, as 32 hexadecimal digits. */
  String hash() {
    String both = workspace.length() + ":" + workspace + text;
    return Hashing.sha256().hashString(both, StandardCharsets.UTF_8).toString().substring(0, 32);
  }
}
