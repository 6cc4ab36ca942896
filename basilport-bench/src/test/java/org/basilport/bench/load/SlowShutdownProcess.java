package org.basilport.bench.load;

import java.io.PrintStream;

/** Exits with code 0 after a delay following SIGTERM, like a daemon that drains. */
public final class SlowShutdownProcess {
  private static final long STOP_MILLIS = 300;

  private SlowShutdownProcess() {}

  /** Waits for SIGTERM. */
  public static void main(String[] arguments) throws InterruptedException {
    Runtime.getRuntime().addShutdownHook(new Thread(SlowShutdownProcess::stop));
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
