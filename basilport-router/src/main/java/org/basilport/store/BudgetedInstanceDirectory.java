package org.basilport.store;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.basilport.platform.InstanceDirectory;
import org.basilport.platform.ListedInstance;

/** An instance list whose calls pass the platform gate. */
public final class BudgetedInstanceDirectory implements InstanceDirectory {
  private static final Duration CALL_LIMIT = Duration.ofSeconds(2);

  private final InstanceDirectory delegate;
  private final PlatformGate gate;

  /** Creates a directory over the platform's own one. */
  public BudgetedInstanceDirectory(InstanceDirectory delegate, PlatformGate gate) {
    this.delegate = delegate;
    this.gate = gate;
  }

  @Override
  public CompletableFuture<List<ListedInstance>> list() {
    return gate.call(CallKind.LIST_INSTANCES, "list instances", CALL_LIMIT, delegate::list);
  }
}
