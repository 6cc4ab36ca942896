package org.basilport.bench.load;

import com.sun.management.OperatingSystemMXBean;
import com.sun.tools.attach.VirtualMachine;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import javax.management.MBeanServerConnection;
import javax.management.remote.JMXConnector;
import javax.management.remote.JMXConnectorFactory;
import javax.management.remote.JMXServiceURL;

/** Measures a daemon in another JVM of the same user through the JDK's local management agent. */
final class ProcessProbe implements DaemonProbe {
  private final JMXConnector connector;
  private final OperatingSystemMXBean systemBean;
  private final MemoryMXBean memoryBean;

  /**
   * Attaches to a JVM and starts its local management agent.
   *
   * @param pid process id
   */
  ProcessProbe(long pid) throws Exception {
    VirtualMachine machine = VirtualMachine.attach(Long.toString(pid));
    try {
      JMXServiceURL url = new JMXServiceURL(machine.startLocalManagementAgent());
      connector = JMXConnectorFactory.connect(url);
    } finally {
      machine.detach();
    }
    MBeanServerConnection connection = connector.getMBeanServerConnection();
    systemBean =
        proxy(
            connection,
            ManagementFactory.OPERATING_SYSTEM_MXBEAN_NAME,
            OperatingSystemMXBean.class);
    memoryBean = proxy(connection, ManagementFactory.MEMORY_MXBEAN_NAME, MemoryMXBean.class);
  }

  private static <T> T proxy(MBeanServerConnection connection, String name, Class<T> type) {
    try {
      return ManagementFactory.newPlatformMXBeanProxy(connection, name, type);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public long cpuNanos() {
    return systemBean.getProcessCpuTime();
  }

  @Override
  public long heapBytes() {
    memoryBean.gc();
    return memoryBean.getHeapMemoryUsage().getUsed();
  }

  @Override
  public void close() throws IOException {
    connector.close();
  }
}
