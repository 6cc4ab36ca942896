package org.basilport.bench.load;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A JVM that a run started with its own class path; ended and signalled only by its id. */
final class ChildProcess implements AutoCloseable {
  private static final String HEAP = "-Xmx128m";
  private static final long END_SECONDS = 10;

  private final Process process;

  private ChildProcess(Process process) {
    this.process = process;
  }

  /**
   * Starts a main class.
   *
   * @param log file to which standard error is appended
   */
  static ChildProcess start(File log, String mainClass, List<String> arguments) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.add(HEAP);
    command.add("-XX:+UseSerialGC");
    // Full optimisation of each child would take several cores for the whole of a short run.
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

  /** Stops the process without its noticing. */
  void pause() throws IOException, InterruptedException {
    signal("-STOP");
  }

  /** Lets a paused process go on. */
  void resume() throws IOException, InterruptedException {
    signal("-CONT");
  }

  private void signal(String name) throws IOException, InterruptedException {
    if (process.isAlive()) {
      new ProcessBuilder("kill", name, Long.toString(process.pid())).start().waitFor();
    }
  }

  /** Kills the process at once and waits for its end. */
  void kill() throws InterruptedException {
    process.destroyForcibly().waitFor(END_SECONDS, TimeUnit.SECONDS);
  }

  /** Sends SIGTERM and returns the exit code, or -1 when the process did not end in time. */
  int terminate(long seconds) throws InterruptedException {
    // Process.destroy also closes the pipes, and the child ends at once when its input closes.
    process.toHandle().destroy();
    return process.waitFor(seconds, TimeUnit.SECONDS) ? process.exitValue() : -1;
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor(END_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
