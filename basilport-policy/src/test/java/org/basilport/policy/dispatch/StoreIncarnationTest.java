package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalLong;
import org.basilport.policy.dispatch.StoreIncarnation.Order;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Order of the responses of a store that returns from older copies. */
class StoreIncarnationTest {
  @Nested
  class Responses {
    private final StoreIncarnation incarnation = new StoreIncarnation();

    private Order observe(long number) {
      return incarnation.observe(OptionalLong.of(number));
    }

    /** Guards against a response of before a return that arrives after one of the new store. */
    @Test
    void areOutdatedOnceALaterIncarnationHasResponded() {
      assertThat(observe(4)).isEqualTo(Order.CURRENT);
      assertThat(observe(5)).isEqualTo(Order.RETURNED);
      assertThat(observe(5)).isEqualTo(Order.CURRENT);
      assertThat(observe(4)).isEqualTo(Order.OUTDATED);
      assertThat(observe(7)).isEqualTo(Order.RETURNED);
      assertThat(observe(6)).isEqualTo(Order.OUTDATED);
    }

    /** Guards against refusing responses of a store that does not tell its incarnation. */
    @Test
    void areCurrentIfTheyTellNoIncarnation() {
      assertThat(incarnation.observe(OptionalLong.empty())).isEqualTo(Order.CURRENT);
      observe(4);
      assertThat(incarnation.observe(OptionalLong.empty())).isEqualTo(Order.CURRENT);
      assertThat(incarnation.latest()).hasValue(4);
    }
  }

  @Nested
  class Positions {
    /** Guards against taking a revision that was given out again for a later time. */
    @Test
    void areOrderedByIncarnationFirst() {
      assertThat(new StorePosition(2, 3)).isGreaterThan(new StorePosition(1, 900));
      assertThat(new StorePosition(2, 4)).isGreaterThan(new StorePosition(2, 3));
    }
  }
}
