package org.basilport.policy.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * The latest time at which another instance is known to have run, on the monotonic clock of this
 * instance.
 *
 * <p>The load it answers: reports that arrive seconds late, twice or after the death of their
 * sender, and instances that restart under the same id. The receipt of a report therefore says
 * nothing about the time at which its sender ran, and the clocks of two machines are not
 * comparable. An instance is asked with a random number instead; its reply shows that it ran after
 * the question was sent, however long the reply took. A question is asked again at each call until
 * it is answered, so that single lost messages do not matter.
 */
public final class LastRunTime {
  /**
   * Age of the last run time above which the instance is asked again. With questions at each
   * heartbeat (0.4 s), five lost in a row are needed before the time is older than {@link
   * InstanceAddressSelector#MAX_RUN_AGE_NANOS}. Each question costs two datagrams.
   */
  private static final long REFRESH_AGE_NANOS = TimeUnit.SECONDS.toNanos(4);

  private final SplittableRandom random;
  private final Map<Long, Long> sentNanosByQuestion = new HashMap<>();
  private OptionalLong incarnation = OptionalLong.empty();
  private OptionalLong lastRunNanos = OptionalLong.empty();

  /**
   * Creates an unknown time.
   *
   * @param random source of the questions, which no other process may repeat
   */
  public LastRunTime(SplittableRandom random) {
    this.random = random;
  }

  /**
   * Records a report of an incarnation, by which the last run time does not change. What is known
   * of another incarnation, which may have had another address, is forgotten.
   *
   * @return whether the incarnation is another one than before
   */
  public boolean onReport(long reportedIncarnation) {
    if (incarnation.isPresent() && incarnation.getAsLong() == reportedIncarnation) {
      return false;
    }
    incarnation = OptionalLong.of(reportedIncarnation);
    lastRunNanos = OptionalLong.empty();
    sentNanosByQuestion.clear();
    return true;
  }

  /** The question to be sent now; empty if the last run time is young. */
  public OptionalLong nextQuestion(long nowNanos) {
    if (ranWithin(REFRESH_AGE_NANOS, nowNanos)) {
      return OptionalLong.empty();
    }
    sentNanosByQuestion
        .values()
        .removeIf(sent -> nowNanos - sent > InstanceAddressSelector.MAX_RUN_AGE_NANOS);
    long question = random.nextLong();
    sentNanosByQuestion.put(question, nowNanos);
    return OptionalLong.of(question);
  }

  /** Records the reply to a question; one that repeats or was not expected has no effect. */
  public void onReply(long question) {
    Long sent = sentNanosByQuestion.remove(question);
    if (sent != null && (lastRunNanos.isEmpty() || sent - lastRunNanos.getAsLong() > 0)) {
      lastRunNanos = OptionalLong.of(sent);
    }
  }

  /** The last run time; empty before the first reply. */
  public OptionalLong nanos() {
    return lastRunNanos;
  }

  private boolean ranWithin(long ageNanos, long nowNanos) {
    return lastRunNanos.isPresent() && nowNanos - lastRunNanos.getAsLong() <= ageNanos;
  }
}
