package org.basilport.bench.load;

import java.io.File;
import java.io.IOException;
import java.util.List;
import org.basilport.platform.InstanceKind;
import org.basilport.platform.InstanceState;
import org.basilport.platform.ListedInstance;

/** One daemon of the run over its restarts; each restart has a new incarnation. */
final class DaemonProcess {
  private static final String MAIN = "org.basilport.cli.BasilportCommand";
  private static final String DRAIN_MILLIS = "3000";

  private final String id;
  private final String dataCentre;
  private final String address = LoopbackPorts.freeAddress();
  private final String peerAddress = LoopbackPorts.freeAddress();
  private final String platformAddress;
  private final File log;
  private ChildProcess child;
  private long incarnation;

  /** True until the process serves for the first time. */
  private boolean disturbed = true;

  private long changes;

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

  /** Number that grows when a fault begins or ends; odd while one lasts. */
  synchronized long changes() {
    return changes;
  }

  synchronized boolean disturbed() {
    return disturbed;
  }

  /** Notes that a fault of this daemon begins or ends. */
  synchronized void disturbed(boolean wanted) {
    disturbed = wanted;
    changes++;
  }

  /** Entry for the instance list in the next incarnation. */
  synchronized ListedInstance nextEntry() {
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

  /** Starts the process in the incarnation of the latest entry. */
  synchronized void start() throws IOException {
    child =
        ChildProcess.start(
            log,
            ChildMain.class.getName(),
            List.of(
                MAIN,
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
                "--drain-limit-millis=" + DRAIN_MILLIS,
                "--log-level=info"));
  }

  synchronized void close() {
    if (child != null) {
      child.close();
    }
  }
}
