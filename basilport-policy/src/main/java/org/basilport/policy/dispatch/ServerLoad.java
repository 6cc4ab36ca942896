package org.basilport.policy.dispatch;

/**
 * Load, capacity and observed behaviour of one backend server, as one instance knows them.
 *
 * <p>Confined to the thread that decides. Work of other instances arrives with the delay of the
 * exchange between instances; own work is exact.
 */
public final class ServerLoad {
  /** Weight of a new sample in the moving average of the reading speed. */
  private static final double SAMPLE_WEIGHT = 0.2;

  private final String id;
  private final String dataCentre;
  private final int slots;
  private final long memoryTokens;
  private final ServerHealth health = new ServerHealth();
  private OutstandingWork ownWork = OutstandingWork.NONE;
  private OutstandingWork peerWork = OutstandingWork.NONE;
  private long precedingMemoryTokens;
  private Runnable changeListener = () -> {};
  private boolean leaving;
  private long slowUntilNanos = Long.MIN_VALUE;
  private double nanosPerPrefillToken = EarliestFirstTokenSelector.DEFAULT_NANOS_PER_TOKEN;

  /**
   * Creates the record of an idle server.
   *
   * @param memoryTokens key-value memory in tokens, 0 for a server that is no model engine
   */
  public ServerLoad(String id, String dataCentre, int slots, long memoryTokens) {
    this.id = id;
    this.dataCentre = dataCentre;
    this.slots = Math.max(1, slots);
    this.memoryTokens = memoryTokens;
  }

  /** The id under which the server registered. */
  public String id() {
    return id;
  }

  /** The data centre of the server. */
  public String dataCentre() {
    return dataCentre;
  }

  /** Requests that the server processes at once. */
  public int slots() {
    return slots;
  }

  /** Key-value memory in tokens; 0 for a server that is no model engine. */
  public long memoryTokens() {
    return memoryTokens;
  }

  /** What requests have shown of the server. */
  public ServerHealth health() {
    return health;
  }

  /** Work of this instance. */
  public OutstandingWork ownWork() {
    return ownWork;
  }

  /** Work of all instances. */
  public OutstandingWork totalWork() {
    return ownWork.plus(peerWork);
  }

  /** Adds work of this instance. */
  public void addOwnWork(OutstandingWork work) {
    ownWork = ownWork.plus(work);
    changeListener.run();
  }

  /** Removes work of this instance. */
  public void removeOwnWork(OutstandingWork work) {
    ownWork = ownWork.minus(work);
    changeListener.run();
  }

  /** Calls a listener at each change of the work of this instance. */
  public void onChange(Runnable listener) {
    changeListener = listener;
  }

  /**
   * Replaces what is known of the work of other instances.
   *
   * @param tokensOfEarlierInstances memory of instances that go before this one when all move
   */
  public void setPeerWork(OutstandingWork work, long tokensOfEarlierInstances) {
    peerWork = work;
    precedingMemoryTokens = tokensOfEarlierInstances;
  }

  /** Memory of the generations of instances that move theirs first, in tokens. */
  public long precedingMemoryTokens() {
    return precedingMemoryTokens;
  }

  /** Whether the server takes no new work because it is about to leave. */
  public boolean leaving() {
    return leaving;
  }

  /** Marks the server as leaving; the mark is permanent. */
  public void markLeaving() {
    leaving = true;
  }

  /** Records until when the server is slow after its start. */
  public void setWarmUpEnd(long nanos) {
    slowUntilNanos = nanos;
  }

  /** Whether the server is still slow after its start. */
  public boolean warmingUp(long nowNanos) {
    return slowUntilNanos != Long.MIN_VALUE && slowUntilNanos - nowNanos > 0;
  }

  /** Observed time from sending to the first token, per prompt token that was then unread. */
  public double nanosPerPrefillToken() {
    return nanosPerPrefillToken;
  }

  /** Adds an observation of the time to the first token. */
  public void observeFirstToken(long elapsedNanos, long unreadTokensWhenSent) {
    if (unreadTokensWhenSent <= 0) {
      return;
    }
    double sample = (double) elapsedNanos / unreadTokensWhenSent;
    nanosPerPrefillToken += SAMPLE_WEIGHT * (sample - nanosPerPrefillToken);
  }
}
