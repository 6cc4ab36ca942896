package org.basilport.bench.load;

import java.io.File;
import java.io.IOException;
import java.util.List;
import org.basilport.misc.LoopbackPorts;
import org.basilport.platform.InstanceKind;
import org.basilport.platform.InstanceState;
import org.basilport.platform.ListedInstance;

/** A daemon and its processes across restarts; each restart has a new incarnation. */
final class DaemonProcess {
  private static final String MAIN_CLASS = "org.basilport.cli.BasilportCommand";
  private static final String DRAIN_LIMIT_MILLIS = "3000";

  private final String id;
  private final String dataCentre;
  private final String address = LoopbackPorts.freeHostAndPort();
  private final String peerAddress = LoopbackPorts.freeHostAndPort();
  private final String platformAddress;
  private final File log;
  private ChildProcess child;
  private long incarnation;

  /** Also true until the daemon is ready for the first time. */
  private boolean faultActive = true;

  private long faultTransitions;

  DaemonProcess(String id, String dataCentre, String platformAddress, File log) throws IOException {
    this.id = id;
    this.dataCentre = dataCentre;
    this.platformAddress = platformAddress;
    this.log = log;
  }

  String id() {
    return id;
  }

  String address() {
    return address;
  }

  synchronized ChildProcess child() {
    return child;
  }

  /** Returns the number of times that a fault has begun or ended. */
  synchronized long faultTransitions() {
    return faultTransitions;
  }

  synchronized boolean faultActive() {
    return faultActive;
  }

  /** Records the beginning or the end of a fault. */
  synchronized void faultActive(boolean active) {
    faultActive = active;
    faultTransitions++;
  }

  /** Returns the instance directory entry of the next incarnation. */
  synchronized ListedInstance nextInstanceEntry() {
    incarnation = Math.max(incarnation + 1, System.currentTimeMillis());
    return new ListedInstance(
        id,
        InstanceKind.ENTRY,
        "",
        LoadDeployment.REGION,
        dataCentre,
        address,
        peerAddress,
        InstanceState.LIVE,
        incarnation);
  }

  /** Starts a process with the incarnation of the latest instance directory entry. */
  synchronized void start() throws IOException {
    child =
        ChildProcess.start(
            log,
            ChildMain.class.getName(),
            List.of(
                MAIN_CLASS,
                "router",
                "--instance-id=" + id,
                "--incarnation=" + incarnation,
                "--region=" + LoadDeployment.REGION,
                "--data-centre=" + dataCentre,
                "--address=" + address,
                "--peer-address=" + peerAddress,
                "--platform-address=" + platformAddress,
                "--cluster-key=" + LoadDeployment.CLUSTER_KEY,
                "--operator-key=" + LoadDeployment.OPERATOR_KEY,
                "--drain-limit-millis=" + DRAIN_LIMIT_MILLIS,
                "--log-level=info"));
  }

  synchronized void close() {
    if (child != null) {
      child.close();
    }
  }
}
