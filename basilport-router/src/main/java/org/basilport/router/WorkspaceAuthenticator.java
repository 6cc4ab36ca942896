package org.basilport.router;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import org.basilport.config.Deployment;
import org.basilport.config.Workspace;
import org.basilport.error.FailureCode;
import org.basilport.error.RejectedException;
import org.basilport.error.Step;

/** Authenticates callers by the SHA-256 hash of their workspace key. */
final class WorkspaceAuthenticator {
  private WorkspaceAuthenticator() {}

  /** Returns the workspace; fails with {@code RejectedException} at step AUTHENTICATE. */
  static Workspace authenticate(Deployment deployment, Credentials credentials) {
    Optional<Workspace> workspace = deployment.workspace(credentials.workspace());
    if (workspace.isEmpty()) {
      throw new RejectedException(
          FailureCode.UNKNOWN_WORKSPACE, Step.AUTHENTICATE, "the workspace is not configured");
    }
    String hash = Hashing.sha256().hashString(credentials.key(), StandardCharsets.UTF_8).toString();
    byte[] expected = workspace.get().keySha256().getBytes(StandardCharsets.US_ASCII);
    if (!MessageDigest.isEqual(hash.getBytes(StandardCharsets.US_ASCII), expected)) {
      throw new RejectedException(
          FailureCode.UNAUTHENTICATED, Step.AUTHENTICATE, "the workspace's key is wrong");
    }
    return workspace.get();
  }
}
