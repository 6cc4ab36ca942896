package org.basilport.bench.evenness;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.SplittableRandom;
import org.basilport.policy.dispatch.EarliestFirstTokenSelector;
import org.basilport.policy.dispatch.OutstandingWork;
import org.basilport.policy.dispatch.RequestDemand;
import org.basilport.policy.dispatch.ServerLoad;
import org.junit.jupiter.api.Test;

/** Servers of the simulation, compared with what the selectors of the gateway accept. */
class ServerKindTest {
  private static final ServerKind KIND = ServerKind.ENGINE;
  private static final int STEP_TOKENS = 50;

  /** Memory of the request for which an engine needs room; its prompt is the longest one. */
  private static final int ROOM_TOKENS = 1_600;

  /** Guards against a simulation that counts room where the selector sees none, or the reverse. */
  @Test
  void hasRoomIfTheSelectorAcceptsALongRequest() {
    EarliestFirstTokenSelector selector = KIND.engineSelector(new SplittableRandom(1));
    ServerLoad server = new ServerLoad("0", "a", KIND.slots, KIND.memoryTokens);
    RequestDemand demand = new RequestDemand(0, ROOM_TOKENS);
    for (int requests = 1; requests <= KIND.slots + 1; requests++) {
      for (long tokens = 0; tokens <= KIND.memoryTokens; tokens += STEP_TOKENS) {
        OutstandingWork work = new OutstandingWork(requests, 0, tokens);
        assertWithMessage("%s", work)
            .that(KIND.hasRoom(work))
            .isEqualTo(selector.accepts(server, work, demand));
      }
    }
  }
}
