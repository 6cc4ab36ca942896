package org.basilport.policy.dispatch;

import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;

/**
 * The data centres to which one instance sends nothing, as the store last told it.
 *
 * <p>The load it answers: a store whose reads reach the instance directly and through other
 * instances, in any order and with any delay. A read at a newer position replaces what is known, so
 * that late news neither restore nor evacuate a data centre.
 *
 * <p>A store that returned from an older copy may lack evacuations that it had confirmed. Those are
 * kept until a read that began after the writers had time to write them again.
 */
public final class DataCentreEvacuations {
  private final FreshnessProof proof = new FreshnessProof();
  private Set<String> stored = Set.of();
  private Set<String> retained = Set.of();
  private long returnSeenNanos;
  private StorePosition position = StorePosition.NONE;
  private boolean known;

  /**
   * Data centres whose state changed.
   *
   * @param evacuated those to which nothing more is sent
   * @param restored those whose servers are used again
   */
  public record Change(Set<String> evacuated, Set<String> restored) {
    /** A change of no data centre. */
    public static final Change NONE = new Change(Set.of(), Set.of());

    /** Whether no data centre changed its state. */
    public boolean isEmpty() {
      return evacuated.isEmpty() && restored.isEmpty();
    }
  }

  /**
   * Applies what a linearizable read returned; one at an older position is ignored.
   *
   * @param names names of the objects, which are data centres
   * @param readPosition position of the store at the read
   * @param read begin of the read, by the clocks of this instance
   */
  public Change apply(
      Set<String> names, StorePosition readPosition, StoreRead read, long nowNanos) {
    int order = known ? readPosition.compareTo(position) : 1;
    if (order < 0) {
      return Change.NONE;
    }
    proof.record(read.startNanos(), read.startWallMillis());
    Set<String> before = evacuated();
    if (order > 0) {
      if (known && readPosition.incarnation() > position.incarnation()) {
        retained = before;
        returnSeenNanos = nowNanos;
      }
      stored = Set.copyOf(names);
      position = readPosition;
      known = true;
    }
    if (read.startNanos() - returnSeenNanos >= StoreCompleteness.REWRITE_NANOS) {
      retained = Set.of();
    }
    return change(before, evacuated());
  }

  private static Change change(Set<String> before, Set<String> after) {
    if (before.equals(after)) {
      return Change.NONE;
    }
    return new Change(without(after, before), without(before, after));
  }

  private static Set<String> without(Set<String> names, Set<String> others) {
    Set<String> difference = new TreeSet<>(names);
    difference.removeAll(others);
    return difference;
  }

  /** Whether any read was applied. Before, nothing may be sent to any data centre. */
  public boolean known() {
    return known;
  }

  /** Whether nothing may be sent to a data centre. */
  public boolean evacuated(String dataCentre) {
    return !known || stored.contains(dataCentre) || retained.contains(dataCentre);
  }

  /** The evacuated data centres; empty before the first read. */
  public Set<String> evacuated() {
    Set<String> all = new HashSet<>(stored);
    all.addAll(retained);
    return all;
  }

  /** The data centres that the store named at {@link #position()}, without those kept. */
  public Set<String> stored() {
    return stored;
  }

  /** Position of the store at which the names were read. */
  public StorePosition position() {
    return position;
  }

  /**
   * Age of the latest proof that the names are those of the store, in milliseconds; {@link
   * Long#MAX_VALUE} without a valid proof.
   */
  public long proofAgeMillis(long nowNanos, long nowWallMillis) {
    return proof.ageMillis(nowNanos, nowWallMillis);
  }
}
