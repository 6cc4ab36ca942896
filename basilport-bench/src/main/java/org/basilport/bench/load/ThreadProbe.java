package org.basilport.bench.load;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

/**
 * Measures a daemon in the same JVM. Processor time covers the threads started after the probe was
 * created; heap use includes the stand-ins and the load generator.
 */
final class ThreadProbe implements DaemonProbe {
  private final ThreadMXBean threadBean = ManagementFactory.getThreadMXBean();
  private final Set<Long> excludedThreadIds =
      LongStream.of(threadBean.getAllThreadIds()).boxed().collect(Collectors.toSet());

  @Override
  public long cpuNanos() {
    return LongStream.of(threadBean.getAllThreadIds())
        .filter(id -> !excludedThreadIds.contains(id))
        .map(threadBean::getThreadCpuTime)
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
