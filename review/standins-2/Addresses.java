import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Random;

/** Loopback addresses and free ports of one run. */
final class Addresses {
  private static final Random RANDOM = new Random();
  private static final int SECOND = 1 + RANDOM.nextInt(250);
  private static final int THIRD = RANDOM.nextInt(250);

  private Addresses() {}

  static String ip(int index) {
    return "127." + SECOND + "." + THIRD + "." + index;
  }

  static int freePort(String ip) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
      return socket.getLocalPort();
    }
  }
}
