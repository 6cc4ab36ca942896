import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** TCP proxy before a replica, whose path can be cut: open channels are reset and new ones refused. */
final class Proxy {
  private final InetSocketAddress target;
  private final InetSocketAddress address;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile ServerSocket listener;

  Proxy(String host, InetSocketAddress target) throws IOException {
    this.target = target;
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
    byte[] buffer = new byte[16_384];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
        out.write(buffer, 0, read);
      }
      to.shutdownOutput();
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
