package org.basilport.bench.load;

import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;

/**
 * Runs another main class in a child process and ends the process when standard input closes, so
 * that no child outlives the run that started it, even when that run is killed.
 */
public final class ChildMain {
  private ChildMain() {}

  /** Runs the class that the first argument names with the remaining arguments. */
  public static void main(String[] arguments) throws Exception {
    InputStream parent = System.in;
    Thread watch = new Thread(() -> haltAtEnd(parent), "parent-watch");
    watch.setDaemon(true);
    watch.start();
    Class.forName(arguments[0])
        .getMethod("main", String[].class)
        .invoke(null, (Object) Arrays.copyOfRange(arguments, 1, arguments.length));
  }

  private static void haltAtEnd(InputStream parent) {
    try {
      while (parent.read() >= 0) {
        // Only the end of the stream matters.
      }
    } catch (IOException ignored) {
      // A broken pipe also means that the parent has gone.
    }
    Runtime.getRuntime().halt(1);
  }
}
