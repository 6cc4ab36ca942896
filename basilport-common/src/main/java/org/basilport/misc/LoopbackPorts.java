package org.basilport.misc;

import java.io.IOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds free loopback addresses for processes and tests that need to know them before they bind.
 */
public final class LoopbackPorts {
  /** Lowest port that is tried. */
  private static final int FIRST_PORT = 10_000;

  /**
   * End of the ports that are tried. Operating systems choose the local ports of connections above
   * it, so no connection takes a port before its process binds it.
   */
  private static final int END_PORT = 32_000;

  private static final int MAX_ATTEMPTS = 100;

  private LoopbackPorts() {}

  /**
   * Returns a loopback address whose port is free for TCP and UDP at the time of the call.
   *
   * @throws IOException if none of many ports is free
   */
  public static InetSocketAddress freeAddress() throws IOException {
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, END_PORT);
      InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
      if (isFree(address)) {
        return address;
      }
    }
    throw new IOException("none of " + MAX_ATTEMPTS + " loopback ports is free");
  }

  private static boolean isFree(InetSocketAddress address) throws IOException {
    try (ServerSocket stream = new ServerSocket();
        DatagramSocket datagram = new DatagramSocket(null)) {
      stream.bind(address);
      datagram.bind(address);
      return true;
    } catch (BindException e) {
      return false;
    }
  }

  /** Returns a free address in the form {@code 127.0.0.1:port}. */
  public static String freeHostAndPort() throws IOException {
    InetSocketAddress address = freeAddress();
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
