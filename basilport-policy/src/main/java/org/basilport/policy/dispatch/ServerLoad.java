package org.basilport.policy.dispatch;

/**
 * Load, capacity and observed behaviour of one backend server, as seen by one instance.
 *
 * <p>Confined to the thread that makes the decisions. The work of this instance is exact; the work
 * of other instances is known with the delay of their reports.
 */
public final class ServerLoad {
  /** Weight of a new sample in the exponential moving average of the prefill time. */
  private static final double SAMPLE_WEIGHT = 0.2;

  private final String id;
  private final String dataCentre;
  private final int slots;
  private final long memoryTokens;
  private final ServerAdmission admission = new ServerAdmission();
  private final ServerSpeed speed = new ServerSpeed();
  private OutstandingWork ownWork = OutstandingWork.NONE;
  private OutstandingWork peerWork = OutstandingWork.NONE;
  private long precedingMemoryTokens;
  private Runnable changeListener = () -> {};
  private long warmUpEndNanos = Long.MIN_VALUE;
  private double nanosPerPrefillToken = EarliestFirstTokenSelector.DEFAULT_PREFILL_NANOS_PER_TOKEN;

  /**
   * Creates the state of an idle server.
   *
   * @param slots number of requests that the server processes concurrently
   * @param memoryTokens key-value memory in tokens; 0 for a server that is no model engine
   */
  public ServerLoad(String id, String dataCentre, int slots, long memoryTokens) {
    this.id = id;
    this.dataCentre = dataCentre;
    this.slots = Math.max(1, slots);
    this.memoryTokens = memoryTokens;
  }

  /** Id under which the server is registered. */
  public String id() {
    return id;
  }

  /** Data centre of the server. */
  public String dataCentre() {
    return dataCentre;
  }

  /** Number of requests that the server processes concurrently. */
  public int slots() {
    return slots;
  }

  /** Key-value memory in tokens; 0 for a server that is no model engine. */
  public long memoryTokens() {
    return memoryTokens;
  }

  /** Decides whether the server takes new requests of this instance. */
  public ServerAdmission admission() {
    return admission;
  }

  /** Passive health check of the server. */
  public ServerHealth health() {
    return admission.health();
  }

  /** Outstanding work of this instance. */
  public OutstandingWork ownWork() {
    return ownWork;
  }

  /** Outstanding work of all instances. */
  public OutstandingWork totalWork() {
    return ownWork.plus(peerWork);
  }

  /** Outstanding work that the other instances have reported. */
  public OutstandingWork peerWork() {
    return peerWork;
  }

  /** Adds outstanding work of this instance. */
  public void addOwnWork(OutstandingWork work) {
    ownWork = ownWork.plus(work);
    changeListener.run();
  }

  /** Removes outstanding work of this instance. */
  public void removeOwnWork(OutstandingWork work) {
    ownWork = ownWork.minus(work);
    changeListener.run();
  }

  /** Sets the listener that is called after each change of this instance's work. */
  public void onChange(Runnable listener) {
    changeListener = listener;
  }

  /**
   * Replaces the work of the other instances.
   *
   * @param precedingTokens memory of instances that precede this one when all move, in tokens
   */
  public void setPeerWork(OutstandingWork work, long precedingTokens) {
    peerWork = work;
    precedingMemoryTokens = precedingTokens;
  }

  /** Estimate of the speed of the server. */
  public ServerSpeed speed() {
    return speed;
  }

  /** Memory of the generations of instances that precede this one when all move, in tokens. */
  public long precedingMemoryTokens() {
    return precedingMemoryTokens;
  }

  /** Whether the server is leaving and receives no new work. */
  public boolean leaving() {
    return admission.leaving();
  }

  /** Marks the server as leaving; this cannot be undone. */
  public void markLeaving() {
    admission.markLeaving();
  }

  /** Sets the end of the server's warm-up, in monotonic nanoseconds. */
  public void setWarmUpEnd(long nanos) {
    warmUpEndNanos = nanos;
  }

  /** Whether the server is still warming up after its start. */
  public boolean warmingUp(long nowNanos) {
    return warmUpEndNanos != Long.MIN_VALUE && warmUpEndNanos - nowNanos > 0;
  }

  /**
   * Observed time to the first token per prompt token that was waiting for prefill, in nanoseconds.
   */
  public double nanosPerPrefillToken() {
    return nanosPerPrefillToken;
  }

  /**
   * Adds an observation of the time to the first token.
   *
   * @param prefillTokensWhenSent prompt tokens that were waiting for prefill when the request was
   *     sent
   */
  public void observeFirstToken(long elapsedNanos, long prefillTokensWhenSent) {
    if (prefillTokensWhenSent <= 0) {
      return;
    }
    double sample = (double) elapsedNanos / prefillTokensWhenSent;
    nanosPerPrefillToken += SAMPLE_WEIGHT * (sample - nanosPerPrefillToken);
  }
}
