package org.basilport.bench.load;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.basilport.daemon.http.Json;
import org.basilport.platform.ListedInstance;

/** The stand-in process and the daemon processes of a run. */
final class ProcessFleet implements AutoCloseable {
  private static final int ENGINES = 6;
  private static final int REPLICAS = 3;
  private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(5);

  private final HttpClient http;
  private final File log;
  private final ChildProcess standIns;
  private final BufferedReader standInOutput;
  private final String platformAddress;
  private final List<DaemonProcess> daemons = new ArrayList<>();
  private volatile boolean closed;

  /**
   * Starts the stand-ins and all daemons.
   *
   * @throws IOException when the stand-in process does not start
   */
  ProcessFleet(HttpClient http, int count, long seed, File log) throws Exception {
    this.http = http;
    this.log = log;
    this.standIns =
        ChildProcess.start(
            log,
            StandInMain.class.getName(),
            List.of(Integer.toString(ENGINES), Integer.toString(REPLICAS), Long.toString(seed)));
    this.standInOutput =
        new BufferedReader(
            new InputStreamReader(standIns.process().getInputStream(), StandardCharsets.UTF_8));
    this.platformAddress = standInOutput.readLine();
    if (platformAddress == null) {
      throw new IOException("stand-in process did not start; see " + log);
    }
    try {
      startDaemons(count);
    } catch (IOException | InterruptedException e) {
      close();
      throw e;
    }
  }

  private void startDaemons(int count) throws IOException, InterruptedException {
    List<String> dataCentres = LoadDeployment.DATA_CENTRES;
    for (int i = 0; i < count; i++) {
      String dataCentre = dataCentres.get(i % dataCentres.size());
      DaemonProcess daemon =
          new DaemonProcess("entry-" + (i + 1), dataCentre, platformAddress, log);
      daemons.add(daemon);
      start(daemon);
    }
  }

  static int engines() {
    return ENGINES;
  }

  static int replicas() {
    return REPLICAS;
  }

  List<DaemonProcess> daemons() {
    return daemons;
  }

  /** Adds a daemon's next incarnation to the instance directory and starts it. */
  void start(DaemonProcess daemon) throws IOException, InterruptedException {
    ListedInstance entry = daemon.nextInstanceEntry();
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + platformAddress + "/instances/" + entry.id()))
            .timeout(PLATFORM_TIMEOUT)
            .PUT(BodyPublishers.ofString(Json.write(entry)))
            .build();
    http.send(request, BodyHandlers.discarding());
    synchronized (this) {
      // A process that is started after close() would never be stopped.
      if (!closed) {
        daemon.start();
      }
    }
  }

  /** Returns the addresses of all daemons in random order, those without an active fault first. */
  List<String> addresses(SplittableRandom random) {
    List<DaemonProcess> withoutFault = new ArrayList<>();
    List<DaemonProcess> withFault = new ArrayList<>();
    for (DaemonProcess daemon : daemons) {
      (daemon.faultActive() ? withFault : withoutFault).add(daemon);
    }
    List<String> addresses = new ArrayList<>();
    for (List<DaemonProcess> group : List.of(withoutFault, withFault)) {
      while (!group.isEmpty()) {
        addresses.add(group.remove(random.nextInt(group.size())).address());
      }
    }
    return addresses;
  }

  /** Returns the number of executions of each request key at the stand-in service replicas. */
  Map<String, Integer> executions() throws IOException {
    standIns.process().getOutputStream().write('\n');
    standIns.process().getOutputStream().flush();
    Map<String, Integer> executions = new HashMap<>();
    Json.tree(standInOutput.readLine())
        .properties()
        .forEach(entry -> executions.put(entry.getKey(), entry.getValue().asInt()));
    return executions;
  }

  @Override
  public synchronized void close() {
    closed = true;
    daemons.forEach(DaemonProcess::close);
    standIns.close();
  }
}
