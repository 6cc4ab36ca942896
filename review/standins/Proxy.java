import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** TCP proxy before a replica, with a one-way delay. Its path can be cut: open channels are reset and new ones refused. */
final class Proxy {
  private final InetSocketAddress target;
  private final InetSocketAddress address;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final int delayMillis;
  private volatile ServerSocket listener;

  /** Bytes, or the end of the channel if empty, that are due at a time. */
  private record Part(byte[] bytes, long dueNanos) {}

  Proxy(String host, InetSocketAddress target, int delayMillis) throws IOException {
    this.target = target;
    this.delayMillis = delayMillis;
    listener = new ServerSocket();
    listener.bind(new InetSocketAddress(host, 0), 256);
    address = (InetSocketAddress) listener.getLocalSocketAddress();
    Threads.start("proxy", () -> accept(listener));
  }

  InetSocketAddress address() {
    return address;
  }

  private void accept(ServerSocket from) throws IOException {
    while (true) {
      Socket caller = from.accept();
      Socket server = new Socket();
      sockets.add(caller);
      sockets.add(server);
      try {
        caller.setTcpNoDelay(true);
        server.connect(target, 1_000);
        server.setTcpNoDelay(true);
      } catch (IOException e) {
        reset(caller);
        continue;
      }
      Threads.start("proxy", () -> copy(caller, server));
      Threads.start("proxy", () -> copy(server, caller));
    }
  }

  private void copy(Socket from, Socket to) {
    LinkedBlockingQueue<Part> parts = new LinkedBlockingQueue<>();
    Threads.start("proxy", () -> write(parts, from, to));
    byte[] buffer = new byte[16_384];
    try {
      InputStream in = from.getInputStream();
      for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
        parts.add(new Part(Arrays.copyOf(buffer, read), due()));
      }
      parts.add(new Part(new byte[0], due()));
    } catch (IOException e) {
      reset(from);
      reset(to);
    }
  }

  private long due() {
    return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMillis);
  }

  private void write(LinkedBlockingQueue<Part> parts, Socket from, Socket to) throws InterruptedException {
    try {
      OutputStream out = to.getOutputStream();
      while (true) {
        Part part = parts.take();
        TimeUnit.NANOSECONDS.sleep(part.dueNanos - System.nanoTime());
        if (part.bytes.length == 0) {
          to.shutdownOutput();
          return;
        }
        out.write(part.bytes);
      }
    } catch (IOException e) {
      reset(from);
      reset(to);
    }
  }

  private void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
    sockets.remove(socket);
  }

  /** Cuts the path. */
  void cut() throws IOException {
    listener.close();
    sockets.forEach(this::reset);
  }
}
