package org.basilport.bench.contention;

import java.util.Arrays;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.basilport.policy.dispatch.ContendedDispatch;
import org.basilport.policy.dispatch.ContendingRequest;
import org.basilport.policy.dispatch.FreedCapacityDelay;
import org.basilport.policy.dispatch.HeartbeatSchedule;
import org.basilport.policy.dispatch.PendingRequestQueue;
import org.basilport.policy.dispatch.ReturnOrder;

/**
 * Simulates workspaces that request a multiple of the capacity through 60 instances in 5 cells,
 * with the decisions and the exchange of reports of the gateway.
 */
public final class ContentionSimulation {
  private static final int CELLS = 5;
  private static final int INSTANCES = 60;
  private static final int ENGINES = 50;
  private static final int SLOTS = 8;
  private static final int SUBJECTS = 4;
  private static final int MEAN_PROMPT_TOKENS = 400;
  private static final int MEAN_OUTPUT_TOKENS = 160;
  private static final long MEAN_RUN_NANOS =
      SimulatedRequest.runNanos(ContendingRequest.tokens(MEAN_PROMPT_TOKENS, MEAN_OUTPUT_TOKENS));

  private static final long PLACEMENT_INTERVAL_NANOS =
      TimeUnit.MILLISECONDS.toNanos(PendingRequestQueue.PLACEMENT_INTERVAL_MILLIS);
  private static final long ROUND_TRIP_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
  private static final long CALLER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(12);
  private static final long WARM_UP_NANOS = TimeUnit.SECONDS.toNanos(20);

  /** Ratio of the requests or sizes of the first workspace to those of the others. */
  private static final int DIFFERENCE_FACTOR = 4;

  private final ContentionSettings settings;
  private final SplittableRandom random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));
  private final SimulatedInstance[] instances = new SimulatedInstance[INSTANCES];
  private final int[] occupied = new int[ENGINES];
  private final double[] tokens;
  private final FreedCapacityDelay freedCapacityDelay;
  private long sequence;
  private long now;
  private long refused;
  private long returnedInTime;
  private long foundCapacity;
  private long refusedWithCapacity;
  private double occupiedNanos;

  /** Creates a simulation. */
  public ContentionSimulation(ContentionSettings settings) {
    this.settings = settings;
    this.tokens = new double[settings.workspaces()];
    this.random = new SplittableRandom(settings.seed());
    this.freedCapacityDelay = new FreedCapacityDelay(random.split());
  }

  /** Runs the simulation. */
  public ContentionResult run() {
    for (int i = 0; i < INSTANCES; i++) {
      start(i, 0);
      int index = i;
      at(random.nextLong(HeartbeatSchedule.INTERVAL_NANOS), () -> heartbeat(index, 0));
      at(random.nextLong(PLACEMENT_INTERVAL_NANOS), () -> housekeeping(index));
    }
    for (int i = 0; i < settings.workspaces(); i++) {
      int workspace = i;
      at(interval(workspace), () -> arrive(workspace));
    }
    if (settings.restartEverySeconds() > 0) {
      at(TimeUnit.SECONDS.toNanos(settings.restartEverySeconds()), this::restart);
    }
    long end = TimeUnit.SECONDS.toNanos(settings.seconds());
    while (events.peek().at < end) {
      Event event = events.poll();
      now = event.at;
      event.action.run();
    }
    double mean = Arrays.stream(tokens).average().orElse(1);
    return new ContentionResult(
        Arrays.stream(tokens).map(own -> own / mean).toArray(),
        refused,
        returnedInTime,
        foundCapacity,
        refusedWithCapacity,
        occupiedNanos / ((double) (end - WARM_UP_NANOS) * ENGINES * SLOTS));
  }

  private void at(long time, Runnable action) {
    events.add(new Event(time, sequence++, action));
  }

  private void start(int index, long incarnation) {
    instances[index] =
        new SimulatedInstance(
            index, index * CELLS / INSTANCES, incarnation, settings.fair(), random.split(), now);
  }

  /** Replaces the state of an instance; its waiting requests are refused. */
  private void restart() {
    int index = random.nextInt(INSTANCES);
    start(index, instances[index].incarnation + 1);
    at(now + TimeUnit.SECONDS.toNanos(settings.restartEverySeconds()), this::restart);
  }

  private boolean differs(int workspace, CallerBehaviour behaviour) {
    return workspace == 0 && settings.behaviour() == behaviour;
  }

  private double frequency(int workspace) {
    if (differs(workspace, CallerBehaviour.SMALL_REQUESTS)
        || differs(workspace, CallerBehaviour.MORE_REQUESTS)) {
      return DIFFERENCE_FACTOR;
    }
    return differs(workspace, CallerBehaviour.LARGE_REQUESTS) ? 1.0 / DIFFERENCE_FACTOR : 1;
  }

  private long interval(int workspace) {
    double perNano = settings.demand() * ENGINES * SLOTS / MEAN_RUN_NANOS / settings.workspaces();
    return Math.round(-Math.log(1 - random.nextDouble()) / (perNano * frequency(workspace)));
  }

  private int size(int workspace, int mean) {
    double factor = 1;
    if (differs(workspace, CallerBehaviour.SMALL_REQUESTS)) {
      factor = 1.0 / DIFFERENCE_FACTOR;
    } else if (differs(workspace, CallerBehaviour.LARGE_REQUESTS)) {
      factor = DIFFERENCE_FACTOR;
    }
    return (int) Math.max(1, -Math.log(1 - random.nextDouble()) * mean * factor);
  }

  private void arrive(int workspace) {
    at(now + interval(workspace), () -> arrive(workspace));
    SimulatedRequest request =
        new SimulatedRequest(
            workspace,
            random.nextInt(SUBJECTS),
            size(workspace, MEAN_PROMPT_TOKENS),
            size(workspace, MEAN_OUTPUT_TOKENS),
            now + CALLER_TIMEOUT_NANOS);
    int copies = differs(workspace, CallerBehaviour.MANY_INSTANCES) ? DIFFERENCE_FACTOR : 1;
    for (int i = 0; i < copies; i++) {
      submit(request.nextAttempt(), anyInstance(workspace));
    }
  }

  private int anyInstance(int workspace) {
    return random.nextInt(
        differs(workspace, CallerBehaviour.ONE_CELL) ? INSTANCES / CELLS : INSTANCES);
  }

  private void submit(SimulatedRequest request, int instance) {
    request.instance = instances[instance];
    ReturnOrder.Arrival arrival = request.instance.submit(request, servers(), now);
    request.returned = arrival == ReturnOrder.Arrival.RETURNED;
    if (measured() && request.returned) {
      returnedInTime++;
      foundCapacity += request.engine >= 0 ? 1 : 0;
    }
    scheduleOffer(request.instance);
    at(now + SimulatedRequest.MAX_WAIT_NANOS, () -> giveUpWaiting(request));
  }

  private boolean measured() {
    return now >= WARM_UP_NANOS;
  }

  private void giveUpWaiting(SimulatedRequest request) {
    if (!request.done && request.engine < 0) {
      request.instance.remove(request, servers(), now);
      refuse(request);
    }
  }

  private void refuse(SimulatedRequest request) {
    request.done = true;
    if (measured()) {
      refused++;
      refusedWithCapacity += freeEngine(request.instance.cell) >= 0 ? 1 : 0;
    }
    long delay = ROUND_TRIP_NANOS + request.instance.retryAfter(request, now);
    request.instance.end(request, now);
    int workspace = request.workspace();
    int next = anyInstance(workspace);
    if (differs(workspace, CallerBehaviour.RETURN_AT_ONCE)) {
      delay = ROUND_TRIP_NANOS;
    } else if (differs(workspace, CallerBehaviour.RETURN_AT_ONCE_SAME_INSTANCE)) {
      delay = ROUND_TRIP_NANOS;
      next = request.instance.index;
    }
    int instance = next;
    if (now + delay < request.giveUpNanos) {
      at(now + delay, () -> submit(request.nextAttempt(), instance));
    }
  }

  /** An engine of a cell that has a free slot, the least occupied one; -1 if there is none. */
  private int freeEngine(int cell) {
    int best = -1;
    for (int i = 0; i < ENGINES; i++) {
      boolean usable = i % CELLS == cell || (i + 1) % CELLS == cell;
      if (usable && occupied[i] < SLOTS && (best < 0 || occupied[i] < occupied[best])) {
        best = i;
      }
    }
    return best;
  }

  private ContendedDispatch.Servers<SimulatedRequest> servers() {
    return new ContendedDispatch.Servers<>() {
      @Override
      public boolean place(SimulatedRequest request) {
        int engine = freeEngine(request.instance.cell);
        if (engine < 0) {
          return false;
        }
        run(request, engine);
        return true;
      }

      @Override
      public boolean reserve(SimulatedRequest request) {
        return false;
      }

      @Override
      public void release(SimulatedRequest request) {}

      @Override
      public void refuse(SimulatedRequest request) {
        ContentionSimulation.this.refuse(request);
      }
    };
  }

  private void run(SimulatedRequest request, int engine) {
    request.engine = engine;
    occupied[engine]++;
    if (measured()) {
      tokens[request.workspace()] += request.tokens();
      occupiedNanos += request.runNanos();
      foundCapacity += request.returned ? 1 : 0;
    }
    at(now + request.runNanos(), () -> finish(request));
  }

  private void finish(SimulatedRequest request) {
    request.done = true;
    occupied[request.engine]--;
    request.instance.end(request, now);
    offer(request.instance);
    for (SimulatedInstance instance : instances) {
      int engine = request.engine;
      boolean uses = engine % CELLS == instance.cell || (engine + 1) % CELLS == instance.cell;
      if (uses && !instance.dispatchScheduled) {
        instance.dispatchScheduled = true;
        at(
            now + freedCapacityDelay.nextNanos(),
            () -> {
              instance.dispatchScheduled = false;
              offer(instance);
            });
      }
    }
  }

  private void offer(SimulatedInstance instance) {
    instance.dispatch(servers(), now);
  }

  private void scheduleOffer(SimulatedInstance instance) {
    instance.nanosToNextOffer(now).ifPresent(nanos -> at(now + nanos, () -> offer(instance)));
  }

  private void housekeeping(int index) {
    offer(instances[index]);
    at(now + PLACEMENT_INTERVAL_NANOS, () -> housekeeping(index));
  }

  private void heartbeat(int index, int count) {
    SimulatedInstance sender = instances[index];
    java.util.Map<Long, Long> report = sender.usage.nextReport(Integer.MAX_VALUE, now);
    for (SimulatedInstance receiver : instances) {
      int distance = Math.floorMod(receiver.cell - sender.cell, CELLS);
      boolean neighbour = distance == 1 || distance == CELLS - 1;
      boolean receives =
          distance == 0
              || (neighbour && count % HeartbeatSchedule.NEIGHBOUR_INTERVALS == 0)
              || (Math.floorMod(receiver.index - index, INSTANCES)
                      / HeartbeatSchedule.DISTANT_RECEIVERS
                  == count % (INSTANCES / HeartbeatSchedule.DISTANT_RECEIVERS));
      if (receives && receiver != sender && random.nextDouble() >= settings.lostReports()) {
        receiver.usage.report("instance-" + index, sender.incarnation, report, now);
      }
    }
    at(now + HeartbeatSchedule.INTERVAL_NANOS, () -> heartbeat(index, count + 1));
  }

  private record Event(long at, long sequence, Runnable action) {}
}
