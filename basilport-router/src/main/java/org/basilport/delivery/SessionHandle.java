package org.basilport.delivery;

import java.util.function.Consumer;
import org.basilport.misc.Scheduler;

/** A handle that can be used before its session is created on the traffic scheduler. */
final class SessionHandle implements GenerationHandle {
  private final Scheduler traffic;
  private final String requestId;
  private GenerationSession session;

  SessionHandle(Scheduler traffic, String requestId) {
    this.traffic = traffic;
    this.requestId = requestId;
  }

  /** Sets the session; must be called on the traffic scheduler. */
  void attach(GenerationSession created) {
    session = created;
  }

  @Override
  public String requestId() {
    return requestId;
  }

  @Override
  public void request(int batches) {
    run(handle -> handle.request(batches));
  }

  @Override
  public void detach() {
    run(GenerationHandle::detach);
  }

  @Override
  public void cancel() {
    run(GenerationHandle::cancel);
  }

  private void run(Consumer<GenerationHandle> action) {
    // The task that attaches the session was queued before this one.
    traffic.execute(() -> action.accept(session));
  }
}
