package org.basilport.delivery;

/** Lets a caller control a running generation. */
public interface GenerationHandle {

  /** Returns the request id, empty for a resumed generation whose token was rejected. */
  String requestId();

  /** Requests more token batches; the router delivers no batch that was not requested. */
  void request(int batches);

  /** Detaches the caller; the generation continues until the resume window ends. */
  void detach();

  /** Cancels the generation. */
  void cancel();
}
