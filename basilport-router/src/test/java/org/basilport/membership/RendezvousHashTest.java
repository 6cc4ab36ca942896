package org.basilport.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.basilport.policy.routing.RendezvousHash;
import org.junit.jupiter.api.Test;

class RendezvousHashTest {
  private static final int KEYS = 7_000;

  private static String owner(int key, List<String> nodes) {
    return RendezvousHash.owner("key-" + key, nodes, Function.identity()).orElseThrow();
  }

  // Guards against a join or leave that moves keys between the remaining instances.
  @Test
  void leavingNodeMovesOnlyItsOwnShare() {
    List<String> before = IntStream.range(0, 7).mapToObj(i -> "instance-" + i).toList();
    List<String> after = new ArrayList<>(before);
    after.remove("instance-3");
    int moved = 0;
    for (int key = 0; key < KEYS; key++) {
      String was = owner(key, before);
      if (was.equals("instance-3")) {
        moved++;
      } else {
        assertThat(owner(key, after)).isEqualTo(was);
      }
    }
    assertThat(moved).isIn(com.google.common.collect.Range.closed(900, 1_100));
  }
}
