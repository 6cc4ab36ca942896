package org.basilport.bench.load;

import java.io.IOException;

/** Reads what a daemon under load costs. */
interface DaemonProbe extends AutoCloseable {
  /** Processor time that the daemon has used, in nanoseconds. */
  long cpuNanos();

  /** Heap in use after a full collection, in bytes. */
  long heapBytes();

  @Override
  void close() throws IOException;
}
