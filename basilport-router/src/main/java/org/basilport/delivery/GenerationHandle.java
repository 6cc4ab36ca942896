package org.basilport.delivery;

/** The caller's side of a generation. */
public interface GenerationHandle {

  /** Id of the request, empty for a resumed generation whose token was refused. */
  String requestId();

  /** Allows the router to pass on more token batches. */
  void request(int batches);

  /** The caller has gone; the generation goes on until the resume window ends. */
  void detach();

  /** Cancels the generation. */
  void cancel();
}
