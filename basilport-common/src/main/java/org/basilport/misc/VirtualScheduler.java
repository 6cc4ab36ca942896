package org.basilport.misc;

import java.time.Duration;
import java.time.Instant;
import java.util.PriorityQueue;

/**
 * Deterministic single-threaded scheduler whose clock advances to the due time of the next task.
 *
 * <p>Tasks with the same due time run in the order in which they were scheduled, so that runs with
 * the same seed produce the same trace.
 */
public final class VirtualScheduler implements Scheduler {
  private final PriorityQueue<Entry> queue = new PriorityQueue<>();
  private final Instant start;
  private long nanos;
  private long sequence;

  /** Creates a scheduler whose wall clock starts at the given time. */
  public VirtualScheduler(Instant start) {
    this.start = start;
  }

  @Override
  public long nanoTime() {
    return nanos;
  }

  @Override
  public Instant now() {
    return start.plusNanos(nanos);
  }

  @Override
  public void execute(Runnable task) {
    schedule(Duration.ZERO, task);
  }

  @Override
  public Cancellable schedule(Duration delay, Runnable task) {
    long due = nanos + Math.max(0, delay.toNanos());
    Entry entry = new Entry(due, sequence++, task);
    queue.add(entry);
    return () -> entry.task = null;
  }

  /** Runs the next task; returns false when there is none. */
  public boolean runNext() {
    Entry entry = nextLive();
    if (entry == null) {
      return false;
    }
    queue.remove();
    nanos = Math.max(nanos, entry.due);
    entry.task.run();
    return true;
  }

  /** Runs all tasks that are due within the duration and advances the clock to its end. */
  public void runFor(Duration duration) {
    long end = nanos + duration.toNanos();
    Entry entry = nextLive();
    while (entry != null && entry.due <= end) {
      runNext();
      entry = nextLive();
    }
    nanos = end;
  }

  private Entry nextLive() {
    Entry entry = queue.peek();
    while (entry != null && entry.task == null) {
      queue.remove();
      entry = queue.peek();
    }
    return entry;
  }

  private static final class Entry implements Comparable<Entry> {
    private final long due;
    private final long sequence;
    private Runnable task;

    Entry(long due, long sequence, Runnable task) {
      this.due = due;
      this.sequence = sequence;
      this.task = task;
    }

    @Override
    public int compareTo(Entry other) {
      int byTime = Long.compare(due, other.due);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }
}
