package org.basilport.policy.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Tokens that workspaces used recently, at this instance and as other instances report them.
 *
 * <p>The load it answers: 60 instances distribute insufficient capacity among tens of workspaces
 * whose callers use all instances, and each instance sees only its own requests. Usage decays with
 * a half-life. A workspace is identified by a hash of the service and its name. A report that is
 * lost leaves the latest one in effect, which decays; so does what an instance had reported before
 * its restart.
 *
 * <p>Confined to the thread that makes the decisions.
 */
public final class FleetUsage {
  /** Largest number of workspaces in one report, which bounds the size of the datagram. */
  public static final int MAX_REPORTED = 32;

  /** Half-life of the usage; several times the duration of a usual generation. */
  private static final long HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(20);

  /** Half-lives between two removals of workspaces without usage. */
  private static final int HALF_LIVES_TO_PRUNE = 4;

  /** Largest reported usage of a workspace that is plausible, in tokens. */
  private static final long MAX_REPORTED_TOKENS = 10_000_000_000L;

  private final Map<Long, Usage> usages = new HashMap<>();
  private final Map<String, Reporter> reporters = new HashMap<>();
  private long referenceNanos;
  private long reportCount;

  /** Creates an empty usage. */
  public FleetUsage(long nowNanos) {
    this.referenceNanos = nowNanos;
  }

  /**
   * Adds usage at this instance.
   *
   * @param tokens tokens to add; negative if a former charge was too high
   */
  public void charge(long workspace, double tokens, long nowNanos) {
    double scale = scale(nowNanos);
    Usage usage = usages.computeIfAbsent(workspace, key -> new Usage());
    usage.own = Math.max(0, usage.own + tokens * scale);
  }

  /** Decayed usage of a workspace at all known instances, in tokens. */
  public double tokens(long workspace, long nowNanos) {
    double scale = scale(nowNanos);
    return level(workspace) / scale;
  }

  /** Decayed usage of a workspace at this instance, in tokens. */
  public double ownTokens(long workspace, long nowNanos) {
    double scale = scale(nowNanos);
    Usage usage = usages.get(workspace);
    return usage == null ? 0 : usage.own / scale;
  }

  /**
   * Usage of a workspace in a unit that is the same for all workspaces until the next call of
   * another method.
   */
  double level(long workspace) {
    Usage usage = usages.get(workspace);
    return usage == null ? 0 : usage.own + usage.reported;
  }

  /**
   * Usage at this instance for the next report, in tokens by workspace, the workspaces first that
   * were not reported for the longest time.
   */
  public Map<Long, Long> nextReport(int maxWorkspaces, long nowNanos) {
    double scale = scale(nowNanos);
    List<Map.Entry<Long, Usage>> candidates = new ArrayList<>();
    for (Map.Entry<Long, Usage> entry : usages.entrySet()) {
      if (entry.getValue().own >= scale) {
        candidates.add(entry);
      }
    }
    candidates.sort(
        Comparator.comparingLong((Map.Entry<Long, Usage> entry) -> entry.getValue().lastReport)
            .thenComparing(Map.Entry::getKey));
    Map<Long, Long> report = new LinkedHashMap<>();
    reportCount++;
    for (Map.Entry<Long, Usage> entry : candidates) {
      if (report.size() >= Math.min(maxWorkspaces, MAX_REPORTED)) {
        break;
      }
      entry.getValue().lastReport = reportCount;
      report.put(entry.getKey(), Math.round(entry.getValue().own / scale));
    }
    return report;
  }

  /**
   * Replaces what another instance reported of the workspaces that its report contains. Ignores an
   * invalid report and one of a former start of the instance.
   *
   * @param incarnation start of the instance; what a former start reported remains and decays
   * @return whether the report was used
   */
  public boolean report(
      String instance, long incarnation, Map<Long, Long> tokensByWorkspace, long nowNanos) {
    boolean valid =
        tokensByWorkspace.size() <= MAX_REPORTED
            && tokensByWorkspace.values().stream()
                .allMatch(tokens -> tokens >= 0 && tokens <= MAX_REPORTED_TOKENS);
    Reporter known = reporters.get(instance);
    if (!valid || (known != null && known.incarnation > incarnation)) {
      return false;
    }
    double scale = scale(nowNanos);
    if (known == null || known.incarnation < incarnation) {
      known = new Reporter(incarnation, new HashMap<>());
      reporters.put(instance, known);
    }
    for (Map.Entry<Long, Long> entry : tokensByWorkspace.entrySet()) {
      double level = entry.getValue() * scale;
      Double former = known.levels.put(entry.getKey(), level);
      Usage usage = usages.computeIfAbsent(entry.getKey(), key -> new Usage());
      usage.reported = Math.max(0, usage.reported + level - (former == null ? 0 : former));
    }
    return true;
  }

  /** Factor of usage now over usage at the reference time that decays to the same value. */
  private double scale(long nowNanos) {
    double halfLives = (double) (nowNanos - referenceNanos) / HALF_LIFE_NANOS;
    if (halfLives < HALF_LIVES_TO_PRUNE) {
      return Math.pow(2, halfLives);
    }
    prune(Math.pow(2, -halfLives));
    referenceNanos = nowNanos;
    return 1;
  }

  private void prune(double factor) {
    for (Iterator<Usage> iterator = usages.values().iterator(); iterator.hasNext(); ) {
      Usage usage = iterator.next();
      usage.own *= factor;
      usage.reported *= factor;
      if (usage.own + usage.reported < 1) {
        iterator.remove();
      }
    }
    for (Reporter reporter : reporters.values()) {
      reporter.levels.replaceAll((workspace, level) -> level * factor);
      reporter.levels.values().removeIf(level -> level < 1);
    }
    reporters.values().removeIf(reporter -> reporter.levels.isEmpty());
  }

  /** Usage of one workspace, at the reference time. */
  private static final class Usage {
    private double own;
    private double reported;
    private long lastReport;
  }

  /** Latest reported levels of another instance since its start. */
  private record Reporter(long incarnation, Map<Long, Double> levels) {}
}
