package org.basilport.store;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.basilport.platform.InstanceDirectory;
import org.basilport.platform.ListedInstance;

/** Instance directory whose calls are subject to the platform call limiter. */
public final class RateLimitedInstanceDirectory implements InstanceDirectory {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

  private final InstanceDirectory delegate;
  private final PlatformCallLimiter callLimiter;

  /** Creates a directory that forwards permitted calls to the platform's directory. */
  public RateLimitedInstanceDirectory(InstanceDirectory delegate, PlatformCallLimiter callLimiter) {
    this.delegate = delegate;
    this.callLimiter = callLimiter;
  }

  @Override
  public CompletableFuture<List<ListedInstance>> list() {
    return callLimiter.call(
        CallKind.LIST_INSTANCES, "list instances", CALL_TIMEOUT, delegate::list);
  }
}
