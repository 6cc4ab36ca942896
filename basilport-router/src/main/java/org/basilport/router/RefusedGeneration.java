package org.basilport.router;

import org.basilport.delivery.GenerationHandle;

/** The handle of a generation that was refused. */
enum RefusedGeneration implements GenerationHandle {
  HANDLE;

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
