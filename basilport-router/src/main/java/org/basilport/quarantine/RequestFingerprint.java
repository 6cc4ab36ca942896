package org.basilport.quarantine;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Names requests of the same content, so that a resent request is recognised. */
public final class RequestFingerprint {
  private static final int HEX_DIGITS = 32;

  private RequestFingerprint() {}

  /** Returns a hash of the workspace, the route and the body. */
  public static String of(String workspace, String route, String body) {
    Hasher hasher = Hashing.sha256().newHasher();
    // Lengths keep ("ab", "c") apart from ("a", "bc").
    hasher.putInt(workspace.length()).putString(workspace, StandardCharsets.UTF_8);
    hasher.putInt(route.length()).putString(route, StandardCharsets.UTF_8);
    hasher.putString(body, StandardCharsets.UTF_8);
    return hasher.hash().toString().substring(0, HEX_DIGITS);
  }
}
