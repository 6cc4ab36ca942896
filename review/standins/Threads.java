/** Starts daemon threads whose failures end them silently: channels of a case are closed at any time. */
final class Threads {
  interface Task {
    void run() throws Exception;
  }

  private Threads() {}

  static Thread start(String name, Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                // The channel or the stand-in was closed.
              }
            },
            name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
