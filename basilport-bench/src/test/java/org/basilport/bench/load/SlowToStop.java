package org.basilport.bench.load;

import java.io.PrintStream;

/** A process that needs a moment after SIGTERM and then ends with exit code 0. */
public final class SlowToStop {
  private static final long STOP_MILLIS = 300;

  private SlowToStop() {}

  /** Waits for SIGTERM. */
  public static void main(String[] arguments) throws InterruptedException {
    Runtime.getRuntime().addShutdownHook(new Thread(SlowToStop::stop));
    PrintStream out = System.out;
    out.println("ready");
    out.flush();
    Thread.currentThread().join();
  }

  private static void stop() {
    try {
      Thread.sleep(STOP_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    Runtime.getRuntime().halt(0);
  }
}
