package org.basilport.bench.load;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

/**
 * Costs of a daemon in this process: the threads that appeared since the probe was made. Its heap
 * figure includes the stand-ins and the load generator.
 */
final class ThreadProbe implements DaemonProbe {
  private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
  private final Set<Long> others =
      LongStream.of(threads.getAllThreadIds()).boxed().collect(Collectors.toSet());

  @Override
  public long cpuNanos() {
    return LongStream.of(threads.getAllThreadIds())
        .filter(id -> !others.contains(id))
        .map(threads::getThreadCpuTime)
        .filter(nanos -> nanos > 0)
        .sum();
  }

  @Override
  public long heapBytes() {
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  @Override
  public void close() {}
}
