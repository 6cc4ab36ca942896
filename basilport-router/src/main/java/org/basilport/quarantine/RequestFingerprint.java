package org.basilport.quarantine;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Computes fingerprints that identify requests by content, so that resent ones are recognised. */
public final class RequestFingerprint {
  private static final int HEX_DIGITS = 32;

  private RequestFingerprint() {}

  /** Returns a hash of workspace, route and body, as 32 hexadecimal digits. */
  public static String of(String workspace, String route, String body) {
    Hasher hasher = Hashing.sha256().newHasher();
    // The lengths make ("ab", "c") and ("a", "bc") hash differently.
    hasher.putInt(workspace.length()).putString(workspace, StandardCharsets.UTF_8);
    hasher.putInt(route.length()).putString(route, StandardCharsets.UTF_8);
    hasher.putString(body, StandardCharsets.UTF_8);
    return hasher.hash().toString().substring(0, HEX_DIGITS);
  }
}
