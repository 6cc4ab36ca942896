package org.basilport.misc;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Task whose failure is logged and does not reach the executor, which would run a repeated task no
 * further.
 */
public final class LoggedTask implements Runnable {
  private static final Logger LOG = LogManager.getLogger(LoggedTask.class);

  private final Runnable task;

  /** Creates a task that runs another one. */
  public LoggedTask(Runnable task) {
    this.task = task;
  }

  @Override
  public void run() {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.error("scheduled task failed", e);
    }
  }
}
