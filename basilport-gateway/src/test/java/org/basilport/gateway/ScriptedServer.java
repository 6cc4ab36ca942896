package org.basilport.gateway;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** Backend server on a loopback port whose responses a test scripts. */
final class ScriptedServer implements AutoCloseable {
  private static final Duration ACCEPTOR_END_TIMEOUT = Duration.ofSeconds(10);

  private final ServerSocket listener;
  private final Script script;
  private final List<String> requests = new CopyOnWriteArrayList<>();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final Thread acceptor;
  private volatile boolean closed;

  ScriptedServer(Script script) throws IOException {
    this.script = script;
    this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    this.acceptor = start(this::accept);
  }

  private static Thread start(Runnable task) {
    Thread thread = new Thread(task, "scripted-server");
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Method and target of each received request. */
  List<String> requests() {
    return requests;
  }

  /** Number of connections that were accepted. */
  int connections() {
    return sockets.size();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        sockets.add(socket);
        if (closed) {
          socket.close();
          return;
        }
        start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        Map<String, String> headers = new HashMap<>();
        for (String headerLine = reader.readLine();
            !headerLine.isEmpty();
            headerLine = reader.readLine()) {
          int colon = headerLine.indexOf(':');
          headers.put(
              headerLine.substring(0, colon).toLowerCase(Locale.ROOT),
              headerLine.substring(colon + 1).trim());
        }
        reader.skip(Long.parseLong(headers.getOrDefault("content-length", "0")));
        requests.add(line.substring(0, line.lastIndexOf(' ')));
        script.respond(new Request(line, headers), socket.getOutputStream(), socket);
      }
    } catch (IOException | InterruptedException e) {
      // The test or the gateway closed the connection.
      return;
    }
  }

  /** Writes a complete, signed response. */
  static void sendResponse(OutputStream out, Request request, int status, String body)
      throws IOException {
    sendResponse(out, request, status, "", body);
  }

  /** Writes a complete, signed response with additional header lines, each with its line end. */
  static void sendResponse(
      OutputStream out, Request request, int status, String headers, String body)
      throws IOException {
    write(
        out,
        "HTTP/1.1 "
            + status
            + " S\r\nid: "
            + request.id()
            + "\r\nseal: s\r\n"
            + headers
            + "Content-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
  }

  /** Writes the head of an event stream. */
  static void startStream(OutputStream out, Request request) throws IOException {
    startStream(out, request, "");
  }

  /** Writes the head of an event stream with additional header lines. */
  static void startStream(OutputStream out, Request request, String headers) throws IOException {
    write(
        out,
        "HTTP/1.1 200 S\r\nid: "
            + request.id()
            + "\r\nseal: s\r\n"
            + headers
            + "Transfer-Encoding: chunked\r\n\r\n");
  }

  /** Writes the events with the ids {@code from} to {@code to}, inclusive. */
  static void writeEvents(OutputStream out, int from, int to) throws IOException {
    for (int i = from; i <= to; i++) {
      String event = "id: " + i + "\ndata: t" + i + "\n\n";
      write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
    }
  }

  /** Writes the final chunk of an event stream. */
  static void endStream(OutputStream out) throws IOException {
    write(out, "0\r\n\r\n");
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Refuses new connections; open ones go on. */
  void stopAccepting() throws IOException {
    listener.close();
    // The system accepts connections until the thread has left its call.
    Uninterruptibles.joinUninterruptibly(acceptor, ACCEPTOR_END_TIMEOUT);
  }

  @Override
  public void close() throws IOException {
    closed = true;
    stopAccepting();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  /** Writes the response to a request. */
  interface Script {
    void respond(Request request, OutputStream out, Socket socket)
        throws IOException, InterruptedException;
  }

  /** Received request. */
  record Request(String line, Map<String, String> headers) {
    String id() {
      return headers.getOrDefault("id", "");
    }
  }
}
