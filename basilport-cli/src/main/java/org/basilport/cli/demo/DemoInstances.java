package org.basilport.cli.demo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.basilport.config.AcceptedConfiguration;
import org.basilport.daemon.Daemon;
import org.basilport.daemon.DaemonFactory;
import org.basilport.daemon.DaemonSettings;
import org.basilport.event.Event;
import org.basilport.misc.LoopbackPorts;
import org.basilport.platform.ListedInstance;
import org.basilport.router.InstanceSettings;

/** Entry instances of the demo, which all run in this process. */
final class DemoInstances {
  static final String OPERATOR_KEY = "operator-key-of-the-demo";
  private static final String CLUSTER_KEY = "cluster-key-of-the-demo";
  private static final long DRAIN_LIMIT_MILLIS = 500;
  private static final long RESUME_WINDOW_MILLIS = 30_000;
  private static final int WRITES_PER_SECOND = 300;
  private static final int READS_PER_SECOND = 1_500;
  private static final int TIMELINE_CAPACITY = 10_000;
  private static final long STOP_TIMEOUT_SECONDS = 20;

  private final List<ListedInstance> entries = new ArrayList<>();
  private final List<Daemon> daemons = new ArrayList<>();

  void start(int count, StandInSite standIns) throws IOException {
    for (int i = 0; i < count; i++) {
      ListedInstance entry =
          standIns.listEntry(i, LoopbackPorts.freeHostAndPort(), LoopbackPorts.freeHostAndPort());
      Daemon daemon = DaemonFactory.create(settings(entry, standIns.platformAddress()));
      daemon.start().join();
      entries.add(entry);
      daemons.add(daemon);
    }
  }

  List<String> addresses() {
    return entries.stream().map(ListedInstance::address).toList();
  }

  /** Returns whether the given configuration is in force on all running instances. */
  boolean allHaveConfiguration(long number) {
    return daemons.stream()
        .filter(daemon -> !daemon.terminated().isDone())
        .allMatch(
            daemon ->
                daemon.router().configuration().current().stream()
                    .mapToLong(AcceptedConfiguration::number)
                    .anyMatch(currentNumber -> currentNumber == number));
  }

  /** Returns whether all instances see all members as serving. */
  boolean allServing() {
    return daemons.stream()
        .allMatch(
            daemon ->
                daemon.router().membership().members().stream()
                        .filter(member -> member.serving())
                        .count()
                    == daemons.size());
  }

  /** Returns the events of all instances, including terminated ones, oldest first. */
  List<Event> events() {
    return daemons.stream()
        .flatMap(
            daemon -> daemon.router().timeline().events(event -> true, TIMELINE_CAPACITY).stream())
        .sorted(Comparator.comparingLong(Event::hybridTime))
        .toList();
  }

  CompletableFuture<Void> terminated(String address) {
    return daemons.get(addresses().indexOf(address)).terminated();
  }

  void stop() {
    CompletableFuture<?>[] stops =
        daemons.stream()
            .map(daemon -> daemon.shutDown("the demo ends"))
            .toArray(CompletableFuture<?>[]::new);
    CompletableFuture.allOf(stops).orTimeout(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
  }

  private static DaemonSettings settings(ListedInstance entry, String platformAddress) {
    InstanceSettings instance =
        new InstanceSettings(
            entry.id(),
            entry.incarnation(),
            entry.region(),
            entry.dataCentre(),
            entry.address(),
            entry.peerAddress(),
            CLUSTER_KEY,
            DRAIN_LIMIT_MILLIS,
            RESUME_WINDOW_MILLIS,
            WRITES_PER_SECOND,
            READS_PER_SECOND);
    return new DaemonSettings(
        instance,
        platformAddress,
        OPERATOR_KEY,
        DaemonSettings.DEFAULT_MAX_BODY_BYTES,
        TIMELINE_CAPACITY,
        "pattern",
        "warn");
  }
}
