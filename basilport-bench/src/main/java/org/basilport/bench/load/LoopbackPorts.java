package org.basilport.bench.load;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Finds free loopback addresses. */
final class LoopbackPorts {
  private LoopbackPorts() {}

  /** Returns a loopback address with a port that was free at the time of the call. */
  static String freeAddress() throws IOException {
    try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return "127.0.0.1:" + probe.getLocalPort();
    }
  }
}
