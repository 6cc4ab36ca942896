package org.basilport.bench.load;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A JVM started with the class path of this one; signals are sent to its process id only. */
final class ChildProcess implements AutoCloseable {
  private static final String HEAP_OPTION = "-Xmx128m";
  private static final long EXIT_TIMEOUT_SECONDS = 10;

  private final Process process;

  private ChildProcess(Process process) {
    this.process = process;
  }

  /**
   * Starts a main class in a new JVM.
   *
   * @param log file to which standard error is appended
   */
  static ChildProcess start(File log, String mainClass, List<String> arguments) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.add(HEAP_OPTION);
    command.add("-XX:+UseSerialGC");
    // The optimising compiler of every child would occupy several cores during a short run.
    command.add("-XX:TieredStopAtLevel=1");
    command.add("-cp");
    command.add(System.getProperty("java.class.path"));
    command.add(mainClass);
    command.addAll(arguments);
    return new ChildProcess(
        new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.appendTo(log)).start());
  }

  Process process() {
    return process;
  }

  boolean alive() {
    return process.isAlive();
  }

  /** Suspends the process with SIGSTOP. */
  void pause() throws IOException, InterruptedException {
    sendSignal("-STOP");
  }

  /** Continues a suspended process. */
  void resume() throws IOException, InterruptedException {
    sendSignal("-CONT");
  }

  private void sendSignal(String name) throws IOException, InterruptedException {
    if (process.isAlive()) {
      new ProcessBuilder("kill", name, Long.toString(process.pid())).start().waitFor();
    }
  }

  /** Kills the process and waits for its exit. */
  void kill() throws InterruptedException {
    process.destroyForcibly().waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /** Sends SIGTERM and returns the exit code, or -1 when the process does not exit in time. */
  int terminate(long timeoutSeconds) throws InterruptedException {
    // Process.destroy would also close the pipes, and ChildMain halts when its input closes.
    process.toHandle().destroy();
    return process.waitFor(timeoutSeconds, TimeUnit.SECONDS) ? process.exitValue() : -1;
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
