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
 * The caller's name of a request that may not be repeated.
 *
 * @param workspace workspace of the caller
 * @param text the key as the caller sent it
 * @param issuedSeconds when the caller made it, in seconds since the epoch
 */
public record RequestKey(String workspace, String text, long issuedSeconds) {
  /** How long a key is accepted after its issue. */
  public static final Duration ACCEPTED_FOR = Duration.ofHours(1);

  /** How far a caller's clock may be ahead. */
  public static final Duration CLOCK_TOLERANCE = Duration.ofMinutes(5);

  /** Length of the time slot that shares claim objects. */
  static final Duration SLOT = Duration.ofMinutes(10);

  static final int SHARDS = 16;

  private static final Pattern FORM = Pattern.compile("(\\d{1,12})-([A-Za-z0-9_.~-]{8,100})");

  /**
   * Parses a key and checks its issue time. Fails with {@code RejectedException} at step CLAIM:
   * MALFORMED, or EXPIRED for a key that was issued too long ago or too far in the future.
   */
  public static RequestKey parse(String workspace, String text, Instant now) {
    Matcher matcher = FORM.matcher(text);
    if (!matcher.matches()) {
      throw new RejectedException(
          FailureCode.MALFORMED,
          Step.CLAIM,
          "a request key has the form <issued epoch seconds>-<at least 8 random characters>");
    }
    long issued = Long.parseLong(matcher.group(1));
    long age = now.getEpochSecond() - issued;
    if (age > ACCEPTED_FOR.toSeconds()) {
      throw new RejectedException(
          FailureCode.EXPIRED,
          Step.CLAIM,
          "the request key has expired; this attempt was not run, an earlier one may have run");
    }
    if (-age > CLOCK_TOLERANCE.toSeconds()) {
      throw new RejectedException(
          FailureCode.MALFORMED, Step.CLAIM, "the request key was issued in the future");
    }
    return new RequestKey(workspace, text, issued);
  }

  /** Name of the object that holds claims of this key. */
  String objectName() {
    int shard = Math.floorMod(hash().hashCode(), SHARDS);
    return ClaimObject.PREFIX + issuedSeconds / SLOT.toSeconds() + "/" + shard;
  }

  /** Hash of workspace and key, in 32 hexadecimal digits. */
  String hash() {
    String both = workspace.length() + ":" + workspace + text;
    return Hashing.sha256().hashString(both, StandardCharsets.UTF_8).toString().substring(0, 32);
  }
}
