package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Queue;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.basilport.policy.dispatch.GenerationHandover.Decision;
import org.basilport.policy.dispatch.GenerationHandover.LastCopy;
import org.basilport.policy.dispatch.GenerationHandover.StreamEnd;

/** Searches the orders in which the events of a move may arrive. */
class GenerationHandoverTest {
  private static final int TRIES = 50_000;
  private static final int MAX_STEPS = 30;
  private static final int CHOICES = 1_000;

  @Group
  class Orders {
    /** Guards against a stream that has ended well and is reset, or is cut and looks complete. */
    @Property(tries = TRIES, seed = "38")
    void deliverAStreamAsCompleteIfAndOnlyIfItIs(
        @ForAll boolean visibleEnd,
        @ForAll @Size(max = MAX_STEPS) List<@IntRange(min = 0, max = CHOICES) Integer> choices) {
      Fleet fleet = new Fleet(choices.iterator(), visibleEnd);
      fleet.play();
      if (fleet.delivered) {
        assertWithMessage(fleet.trace()).that(fleet.run).isEqualTo(Run.FINISHED);
      }
      if (fleet.completeEndArrived || (fleet.wholeStreamArrived && !fleet.answerUnknown)) {
        assertWithMessage(fleet.trace()).that(fleet.delivered).isTrue();
      }
    }

    /** Guards against two engines that run one generation, or use one copy. */
    @Property(tries = TRIES, seed = "38")
    void continueARunOnlyOnceItHasStopped(
        @ForAll boolean visibleEnd,
        @ForAll @Size(max = MAX_STEPS) List<@IntRange(min = 0, max = CHOICES) Integer> choices) {
      Fleet fleet = new Fleet(choices.iterator(), visibleEnd);
      fleet.play();
      assertWithMessage(fleet.trace()).that(fleet.executions).isAtMost(1);
      assertWithMessage(fleet.trace()).that(fleet.continuedWithoutStop).isFalse();
      assertWithMessage(fleet.trace()).that(fleet.continuedBeforeEnd).isFalse();
    }

    /** Guards against a stream for which nothing happens any more. */
    @Property(tries = TRIES, seed = "38")
    void alwaysEndWithADecision(
        @ForAll boolean visibleEnd,
        @ForAll @Size(max = MAX_STEPS) List<@IntRange(min = 0, max = CHOICES) Integer> choices) {
      Fleet fleet = new Fleet(choices.iterator(), visibleEnd);
      fleet.play();
      assertWithMessage(fleet.trace()).that(fleet.ended).isTrue();
    }
  }

  @Group
  class Continuations {
    private final GenerationHandover handover = new GenerationHandover();

    /** Guards against a request to an engine that has been leaving for longer than it may serve. */
    @Property(tries = 1)
    void goToTheSourceIfTheTargetMayNotBeSentRequestsAnyMore() {
      handover.beginStop();
      handover.onStreamEnd(StreamEnd.BROKEN, available(false, true));

      assertThat(handover.onLastCopy(LastCopy.COPIED, available(false, true)))
          .isEqualTo(Decision.CONTINUE_AT_SOURCE);
      assertThat(handover.onContinuationNotExecuted(available(false, true)))
          .isEqualTo(Decision.BREAK_OFF);
    }
  }

  private static GenerationHandover.Availability available(boolean target, boolean source) {
    return new GenerationHandover.Availability() {
      @Override
      public boolean target() {
        return target;
      }

      @Override
      public boolean source() {
        return source;
      }
    };
  }

  private enum Run {
    RUNNING,
    STOPPED,
    FINISHED
  }

  /** An instance, a source and a target, and the messages on their way between them. */
  private static final class Fleet {
    private final Iterator<Integer> choices;
    private final boolean visibleEnd;
    private final GenerationHandover handover = new GenerationHandover();
    private final List<String> steps = new ArrayList<>();
    private final Queue<LastCopy> answers = new ArrayDeque<>();
    private final Queue<StreamEnd> ends = new ArrayDeque<>();
    private Run run = Run.RUNNING;
    private int stopRequests;
    private boolean awaitsStreamEnd;
    private boolean connected = true;
    private boolean ended;
    private boolean delivered;
    private boolean completeEndArrived;
    private boolean wholeStreamArrived;
    private boolean answerUnknown;
    private boolean continuedWithoutStop;

    /** Whether events of the source could still arrive when another engine went on. */
    private boolean continuedBeforeEnd;

    private int executions;

    Fleet(Iterator<Integer> choices, boolean visibleEnd) {
      this.choices = choices;
      this.visibleEnd = visibleEnd;
    }

    String trace() {
      return String.join(", ", steps);
    }

    private int choose(int count) {
      return choices.hasNext() ? choices.next() % count : 0;
    }

    private GenerationHandover.Availability anyAvailability() {
      return available(choose(3) != 1, choose(3) != 1);
    }

    /** Plays until the choices are used up and all messages have arrived. */
    void play() {
      while (!ended) {
        List<Runnable> actions = actions();
        if (actions.isEmpty()) {
          return;
        }
        actions.get(choose(actions.size())).run();
      }
    }

    private List<Runnable> actions() {
      List<Runnable> actions = new ArrayList<>();
      if (!ends.isEmpty()) {
        actions.add(this::endArrives);
      }
      if (!answers.isEmpty()) {
        actions.add(this::answerArrives);
      }
      if (stopRequests > 0) {
        actions.add(this::stopArrives);
        actions.add(this::stopIsLost);
      }
      if (awaitsStreamEnd) {
        actions.add(this::streamEndTimesOut);
      }
      if (run == Run.RUNNING) {
        actions.add(this::finishRun);
      }
      if (connected && !handover.stopping() && choices.hasNext()) {
        actions.add(this::requestStop);
      }
      return actions;
    }

    private void finishRun() {
      steps.add("run finishes");
      run = Run.FINISHED;
      boolean lost = choose(5) == 4;
      ends.add(
          lost ? StreamEnd.BROKEN : visibleEnd ? StreamEnd.COMPLETE : StreamEnd.POSSIBLY_COMPLETE);
    }

    private void requestStop() {
      steps.add("stop is requested");
      handover.beginStop();
      stopRequests++;
    }

    private void stopArrives() {
      stopRequests--;
      if (run == Run.RUNNING) {
        run = Run.STOPPED;
        ends.add(visibleEnd ? StreamEnd.BROKEN : StreamEnd.POSSIBLY_COMPLETE);
        answers.add(
            List.of(LastCopy.COPIED, LastCopy.KEPT_AT_SOURCE, LastCopy.UNKNOWN).get(choose(3)));
      } else {
        answers.add(LastCopy.NO_SUCH_RUN);
      }
      steps.add("stop arrives, run is " + run);
    }

    private void stopIsLost() {
      steps.add("stop is lost");
      stopRequests--;
      answers.add(LastCopy.UNKNOWN);
    }

    private void answerArrives() {
      LastCopy answer = answers.remove();
      answerUnknown |= answer == LastCopy.UNKNOWN;
      act("answer " + answer, handover.onLastCopy(answer, anyAvailability()));
      awaitsStreamEnd = !ended && handover.stopping();
    }

    private void endArrives() {
      StreamEnd end = ends.remove();
      connected = false;
      completeEndArrived |= end == StreamEnd.COMPLETE;
      wholeStreamArrived |= run == Run.FINISHED && end == StreamEnd.POSSIBLY_COMPLETE;
      awaitsStreamEnd = false;
      act("stream ends " + end, handover.onStreamEnd(end, anyAvailability()));
    }

    private void streamEndTimesOut() {
      ends.clear();
      connected = false;
      awaitsStreamEnd = false;
      act("end of the stream times out", handover.onStreamEnd(StreamEnd.BROKEN, anyAvailability()));
    }

    private void act(String event, Decision decision) {
      steps.add(event + " -> " + decision);
      switch (decision) {
        case FINISH -> {
          delivered = true;
          ended = true;
        }
        case BREAK_OFF -> ended = true;
        case CONTINUE_AT_TARGET, CONTINUE_AT_SOURCE -> sendContinuation();
        default -> {
          // The stream of the source is read further.
        }
      }
    }

    private void sendContinuation() {
      continuedWithoutStop |= run != Run.STOPPED;
      continuedBeforeEnd |= connected;
      if (choose(2) == 1) {
        act("not executed", handover.onContinuationNotExecuted(anyAvailability()));
      } else {
        steps.add("executed");
        executions++;
        handover.restart();
        ended = true;
      }
    }
  }
}
