package org.basilport.router;

import org.basilport.delivery.GenerationHandle;

/** Handle of a rejected generation; all operations are no-ops. */
enum RejectedGenerationHandle implements GenerationHandle {
  INSTANCE;

  @Override
  public String requestId() {
    return "";
  }

  @Override
  public void request(int batches) {}

  @Override
  public void detach() {}

  @Override
  public void cancel() {}
}
