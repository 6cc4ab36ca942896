package org.basilport.misc;

/** A scheduled task or an open operation that can be cancelled. */
@FunctionalInterface
public interface Cancellable {

  /** Cancels the operation; does nothing when it has already run or was cancelled before. */
  void cancel();
}
