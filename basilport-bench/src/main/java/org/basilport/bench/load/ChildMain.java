package org.basilport.bench.load;

import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;

/**
 * Runs another main class in a child process and halts the process when standard input closes, so
 * that no child outlives its parent, even when the parent is killed.
 */
public final class ChildMain {
  private ChildMain() {}

  /** Runs the main class named by the first argument with the remaining arguments. */
  public static void main(String[] arguments) throws Exception {
    InputStream input = System.in;
    Thread watcher = new Thread(() -> haltAtEndOfInput(input), "parent-watch");
    watcher.setDaemon(true);
    watcher.start();
    Class.forName(arguments[0])
        .getMethod("main", String[].class)
        .invoke(null, (Object) Arrays.copyOfRange(arguments, 1, arguments.length));
  }

  private static void haltAtEndOfInput(InputStream input) {
    try {
      while (input.read() >= 0) {
        // Input is ignored up to the end of the stream.
      }
    } catch (IOException ignored) {
      // A broken pipe also means that the parent has exited.
    }
    Runtime.getRuntime().halt(1);
  }
}
