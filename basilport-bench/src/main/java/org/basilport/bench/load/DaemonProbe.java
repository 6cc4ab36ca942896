package org.basilport.bench.load;

import java.io.IOException;

/** Measures the resource use of a daemon under load. */
interface DaemonProbe extends AutoCloseable {
  /** Returns the processor time used by the daemon, in nanoseconds. */
  long cpuNanos();

  /** Returns the heap use after a full garbage collection, in bytes. */
  long heapBytes();

  @Override
  void close() throws IOException;
}
