package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests of a fleet to servers that all turn cold at once. */
class ColdStartPermitsTest {
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long STEP = 10 * MILLI;

  /** Latest arrival of a request after its send. */
  private static final long MAX_DELAY = 300 * MILLI;

  private static final long SETTLING = 2 * SECOND;

  private static final long DURATION = 10 * SECOND;
  private static final int SERVERS = 39;

  /** 26 requests a second, times 1.5, and 5. */
  private static final int BOUND = 44;

  private static final int PERMITS = BOUND / 2;

  /** One process: its lists and windows are lost by a restart. */
  private static final class Process {
    private final ColdStartHolders holders;
    private final List<ColdStartShare> shares = new ArrayList<>();

    private Process(int id, long settling) {
      holders = new ColdStartHolders("instance-" + id, settling);
      IntStream.range(0, SERVERS).forEach(server -> shares.add(new ColdStartShare()));
    }
  }

  /** A fleet that sends each server what it may, at most a few requests late. */
  private static final class Fleet {
    private final SplittableRandom random;
    private final List<Process> processes = new ArrayList<>();
    private final List<List<Long>> arrivals = new ArrayList<>();

    private Fleet(int instances, long seed, long settling) {
      random = new SplittableRandom(seed);
      IntStream.range(0, instances).forEach(id -> processes.add(new Process(id, settling)));
      IntStream.range(0, SERVERS).forEach(server -> arrivals.add(new ArrayList<>()));
    }

    private void restart(int id) {
      processes.set(id, new Process(id, SETTLING));
    }

    private void list(int id, Set<String> ids, long now) {
      processes.get(id).holders.update(ids, now);
    }

    private void sendAll(long now) {
      for (Process process : processes) {
        for (int server = 0; server < SERVERS; server++) {
          int share = process.holders.share("server-" + server, PERMITS, now);
          while (process.shares.get(server).tryAcquire(share, now)) {
            arrivals.get(server).add(now + random.nextLong(MAX_DELAY + 1));
          }
        }
      }
    }

    private int mostInASecond() {
      int most = 0;
      for (List<Long> times : arrivals) {
        times.sort(null);
        int first = 0;
        for (int last = 0; last < times.size(); last++) {
          while (times.get(last) - times.get(first) > SECOND) {
            first++;
          }
          most = Math.max(most, last - first + 1);
        }
      }
      return most;
    }

    private int total() {
      return arrivals.stream().mapToInt(List::size).sum();
    }
  }

  private static Set<String> ids(int from, int to) {
    Set<String> ids = new TreeSet<>();
    IntStream.range(from, to).forEach(id -> ids.add("instance-" + id));
    return ids;
  }

  /** Replaces the list by one that lacks some of its instances. */
  private static Set<String> changed(Set<String> all, SplittableRandom random) {
    Set<String> ids = new TreeSet<>(all);
    ids.removeIf(id -> random.nextInt(6) == 0);
    return ids;
  }

  /**
   * Load: two groups of instances, each with its own list that changes several times a second, and
   * processes that restart. Guards against a sum of the permits above what a cold server bears.
   */
  @ParameterizedTest
  @CsvSource({
    "84, 42, 42, 1", "84, 42, 42, 2", "84, 60, 24, 3", "84, 60, 24, 4", "84, 84, 0, 5",
    "84, 20, 30, 6", "9, 5, 5, 7", "9, 9, 0, 8", "6, 3, 3, 9", "30, 22, 8, 10"
  })
  void keepTheBoundWithTwoLists(int instances, int firstTo, int secondFrom, long seed) {
    Fleet fleet = new Fleet(instances, seed, SETTLING);
    SplittableRandom random = new SplittableRandom(seed);
    Set<String> first = ids(0, firstTo);
    Set<String> second = ids(secondFrom, instances);
    Set<String> firstNow = first;
    Set<String> secondNow = second;
    boolean[] restarted = new boolean[instances];
    for (long now = 0; now < DURATION; now += STEP) {
      boolean changing = now > 4 * SECOND && now < 8 * SECOND;
      firstNow = changing && random.nextInt(40) == 0 ? changed(first, random) : firstNow;
      secondNow = changing && random.nextInt(40) == 0 ? changed(second, random) : secondNow;
      for (int id = 0; id < instances; id++) {
        if (now > 3 * SECOND && random.nextInt(500) == 0) {
          fleet.restart(id);
          restarted[id] = true;
        }
        // A process that has just started reads its list later.
        if (!restarted[id] || random.nextInt(50) == 0) {
          restarted[id] = false;
          fleet.list(id, id < (firstTo + secondFrom) / 2 ? firstNow : secondNow, now);
        }
      }
      fleet.sendAll(now);
    }

    assertThat(fleet.mostInASecond()).isAtMost(BOUND);
    assertWithMessage("permits are used").that(fleet.total()).isGreaterThan(5 * SERVERS);
  }

  /**
   * Load: a fleet whose instances register one after another and read the list every 5 s, up to 1 s
   * old. Guards against the permits of many short lists, of which each instance has another.
   */
  @ParameterizedTest
  @CsvSource({"84, 10, 1", "84, 3, 2", "9, 12, 3", "9, 4, 4", "23, 20, 5"})
  void keepTheBoundWhileAFleetStarts(int instances, int startSeconds, long seed) {
    Fleet fleet = new Fleet(instances, seed, ColdStartHolders.SETTLING_NANOS);
    SplittableRandom random = new SplittableRandom(seed);
    List<Long> registered = new ArrayList<>();
    List<Long> nextRead = new ArrayList<>();
    for (int id = 0; id < instances; id++) {
      long start = random.nextLong(startSeconds * SECOND);
      registered.add(start + random.nextLong(SECOND));
      nextRead.add(start);
    }
    for (long now = 0; now < (startSeconds + 15) * SECOND; now += 5 * STEP) {
      for (int id = 0; id < instances; id++) {
        if (now >= nextRead.get(id)) {
          nextRead.set(id, now + 5 * SECOND);
          long copy = now - random.nextLong(SECOND);
          Set<String> listed = new TreeSet<>();
          for (int other = 0; other < instances; other++) {
            if (registered.get(other) <= copy) {
              listed.add("instance-" + other);
            }
          }
          fleet.list(id, listed, now);
        }
      }
      fleet.sendAll(now);
    }

    assertThat(fleet.mostInASecond()).isAtMost(BOUND);
  }

  /**
   * Load: instances leave and return one at a time, and the others read that at different times,
   * every 5 s and up to 1 s late. Guards against a new permit that is used while another instance
   * still uses it by an older list, so that a second partition exceeds the bound.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void areNotUsedByTwoInstancesAfterASingleChange(long seed) {
    int instances = 42;
    Fleet fleet = new Fleet(instances, seed, ColdStartHolders.SETTLING_NANOS);
    SplittableRandom random = new SplittableRandom(seed);
    List<Long> nextRead = new ArrayList<>();
    IntStream.range(0, instances).forEach(id -> nextRead.add(random.nextLong(5 * SECOND)));
    Set<String> all = ids(0, instances);
    TreeMap<Long, Set<String>> lists = new TreeMap<>(Map.of(-SECOND, all));
    for (int change = 1; change <= 6; change++) {
      Set<String> rest = new TreeSet<>(all);
      rest.remove("instance-" + random.nextInt(instances));
      lists.put(20 * change * SECOND, change % 2 == 0 ? all : rest);
    }
    // Latest time at which each instance held a permit, by server.
    List<Map<Integer, Long>> held = new ArrayList<>();
    IntStream.range(0, SERVERS).forEach(server -> held.add(new HashMap<>()));
    for (long now = 0; now < 140 * SECOND; now += 10 * STEP) {
      long at = now;
      for (int id = 0; id < instances; id++) {
        if (now >= nextRead.get(id)) {
          nextRead.set(id, now + 5 * SECOND);
          fleet.list(id, lists.floorEntry(now - random.nextLong(SECOND)).getValue(), now);
        }
        ColdStartHolders holders = fleet.processes.get(id).holders;
        for (int server = 0; server < SERVERS; server++) {
          if (holders.share("server-" + server, PERMITS, now) > 0) {
            held.get(server).put(id, now);
          }
        }
      }
      for (Map<Integer, Long> holders : held) {
        holders.values().removeIf(last -> at - last > ColdStartShare.WINDOW_NANOS);
        assertThat(holders.size()).isAtMost(PERMITS);
      }
    }
  }

  /** Guards against permits that nobody holds while all instances have the same list. */
  @Test
  void areAllHeldByTheInstancesOfOneList() {
    for (int instances : List.of(1, 6, 22, 23, 73, 84)) {
      Fleet fleet = new Fleet(instances, 1, SETTLING);
      IntStream.range(0, instances).forEach(id -> fleet.list(id, ids(0, instances), 0));
      fleet.sendAll(SETTLING);
      int held = instances > PERMITS ? PERMITS : PERMITS / instances * instances;
      assertThat(fleet.total()).isEqualTo(held * SERVERS);
    }
  }

  /**
   * Load: new engines are empty while the others are full, and hold nine prompts of 3,000 tokens
   * each. Guards against permits that only instances hold that do not use the engine.
   */
  @ParameterizedTest
  @CsvSource({"84, 39", "73, 50", "60, 33"})
  void areHeldByInstancesThatUseTheServer(int instances, int engines) {
    int fleets = 20;
    int filled = 0;
    for (long seed = 1; seed <= fleets; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      filled +=
          enginesWithUsablePermits(
              randomIds("instance-", instances, random), randomIds("engine-", engines, random), 9);
    }
    assertThat(filled).isAtLeast((int) (0.9 * fleets * engines));
  }

  private static Set<String> randomIds(String prefix, int count, SplittableRandom random) {
    Set<String> ids = new TreeSet<>();
    IntStream.range(0, count).forEach(i -> ids.add(prefix + random.nextLong()));
    return ids;
  }

  /** Number of engines for which the instances that use them hold enough permits. */
  private static int enginesWithUsablePermits(
      Set<String> instances, Set<String> engines, int enough) {
    CellPartition cells = new CellPartition(instances, engines);
    Map<String, Integer> usable = new TreeMap<>();
    for (String id : instances) {
      ColdStartHolders holders = new ColdStartHolders(id, SETTLING);
      holders.update(instances, 0);
      for (String engine : engines) {
        if (cells.cellsOfEngine(engine).contains(cells.cellOf(id))) {
          usable.merge(engine, holders.share(engine, PERMITS, SETTLING), Integer::sum);
        }
      }
    }
    return (int) usable.values().stream().filter(permits -> permits >= enough).count();
  }

  @Nested
  class Holders {
    private final ColdStartHolders holders = new ColdStartHolders("instance-1", SETTLING);

    /**
     * Guards against a fleet whose instances all read an empty list at their first start, and take
     * themselves for the only one.
     */
    @Test
    void areNoneIfTheListLacksTheInstance() {
      holders.update(Set.of(), 0);
      assertThat(holders.share("server", PERMITS, 5 * SECOND)).isEqualTo(0);
      holders.update(ids(0, 4), 5 * SECOND);
      assertThat(holders.share("server", PERMITS, 5 * SECOND + SETTLING)).isEqualTo(0);
      assertThat(holders.share("server", PERMITS, 5 * SECOND + SETTLING + 1)).isEqualTo(5);
    }

    /**
     * Guards against an instance that sends again what its former run had sent, and against a
     * shorter list that adds permits while others use the longer one.
     */
    @Test
    void keepTheSmallestShareOfTheLatestLists() {
      holders.update(ids(0, 4), 0);
      assertThat(holders.share("server", PERMITS, SETTLING - 1)).isEqualTo(0);
      assertThat(holders.share("server", PERMITS, SETTLING)).isEqualTo(5);
      holders.update(ids(0, 2), 10 * SECOND);
      assertThat(holders.share("server", PERMITS, 10 * SECOND + SETTLING)).isEqualTo(5);
      assertThat(holders.share("server", PERMITS, 10 * SECOND + SETTLING + 1)).isEqualTo(11);
      holders.update(ids(0, 4), 20 * SECOND);
      assertThat(holders.share("server", PERMITS, 20 * SECOND)).isEqualTo(5);
    }
  }

  @Nested
  class Shares {
    private final ColdStartShare share = new ColdStartShare();

    /** Guards against two requests that arrive within a second because the first one was late. */
    @Test
    void staysUsedForASecondAndTheTimeToArrive() {
      assertThat(share.tryAcquire(1, 0)).isTrue();
      assertThat(share.tryAcquire(1, SECOND + MAX_DELAY)).isFalse();
      assertThat(share.tryAcquire(1, SECOND + MAX_DELAY + 1)).isTrue();
    }

    /** Guards against a whole queue that is placed at a server with one permit. */
    @Test
    void placesNoMoreRequestsThanPermits() {
      assertThat(share.permitsPlacement(1, 0)).isTrue();
      share.recordPlaced(0);
      assertThat(share.permitsPlacement(1, MILLI)).isFalse();
      assertThat(share.permitsSend(1, MILLI)).isTrue();
      assertThat(share.nanosToPlacement(1, MILLI).getAsLong()).isAtLeast(MILLI);
      assertThat(share.permitsPlacement(1, SECOND)).isTrue();
    }

    /** Guards against a queue that is placed without end before a permit is free. */
    @Test
    void namesTheTimeOfTheNextPermit() {
      share.tryAcquire(2, 0);
      share.tryAcquire(2, 100 * MILLI);
      long wait = share.nanosToPlacement(2, 200 * MILLI).getAsLong();
      assertThat(share.permitsPlacement(2, 200 * MILLI + wait - 1)).isFalse();
      assertThat(share.permitsPlacement(2, 200 * MILLI + wait)).isTrue();
      assertThat(share.nanosToPlacement(0, 200 * MILLI).isPresent()).isFalse();
    }
  }
}
