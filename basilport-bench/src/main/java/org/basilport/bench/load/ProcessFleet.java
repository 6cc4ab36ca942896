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
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private final HttpClient http;
  private final File log;
  private final ChildProcess standIns;
  private final BufferedReader standInAnswers;
  private final String platformAddress;
  private final List<DaemonProcess> daemons = new ArrayList<>();
  private volatile boolean closed;

  /** Starts the stand-ins and all daemons; fails when the stand-ins do not start. */
  ProcessFleet(HttpClient http, int count, long seed, File log) throws Exception {
    this.http = http;
    this.log = log;
    this.standIns =
        ChildProcess.start(
            log,
            StandInMain.class.getName(),
            List.of(Integer.toString(ENGINES), Integer.toString(REPLICAS), Long.toString(seed)));
    this.standInAnswers =
        new BufferedReader(
            new InputStreamReader(standIns.process().getInputStream(), StandardCharsets.UTF_8));
    this.platformAddress = standInAnswers.readLine();
    if (platformAddress == null) {
      throw new IOException("the stand-in process did not start; see " + log);
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

  /** Lists a daemon in its next incarnation and starts it. */
  void start(DaemonProcess daemon) throws IOException, InterruptedException {
    ListedInstance entry = daemon.nextEntry();
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + platformAddress + "/instances/" + entry.id()))
            .timeout(TIMEOUT)
            .PUT(BodyPublishers.ofString(Json.write(entry)))
            .build();
    http.send(request, BodyHandlers.discarding());
    synchronized (this) {
      // A start that comes after the end of the run would leave a process behind.
      if (!closed) {
        daemon.start();
      }
    }
  }

  /** Addresses of all daemons in random order, those without a fault first. */
  List<String> addresses(SplittableRandom random) {
    List<DaemonProcess> undisturbed = new ArrayList<>();
    List<DaemonProcess> disturbed = new ArrayList<>();
    for (DaemonProcess daemon : daemons) {
      (daemon.disturbed() ? disturbed : undisturbed).add(daemon);
    }
    List<String> addresses = new ArrayList<>();
    for (List<DaemonProcess> group : List.of(undisturbed, disturbed)) {
      while (!group.isEmpty()) {
        addresses.add(group.remove(random.nextInt(group.size())).address());
      }
    }
    return addresses;
  }

  /** Asks the stand-ins how often each request key was executed. */
  Map<String, Integer> executions() throws IOException {
    standIns.process().getOutputStream().write('\n');
    standIns.process().getOutputStream().flush();
    Map<String, Integer> executions = new HashMap<>();
    Json.tree(standInAnswers.readLine())
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
