package org.basilport.gateway.forward;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import org.basilport.policy.dispatch.ResponseBufferBudget;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ResponseBodyTest {
  private static final long LIMIT_BYTES = 20_000_000;
  private static final int PART_BYTES = 8_192;
  private static final int BODY_BYTES = 1_048_576 + PART_BYTES;

  private final ResponseBufferBudget budget = new ResponseBufferBudget(LIMIT_BYTES);

  private static long usedHeapBytes() {
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  /** Guards against a body whose bytes are lost or reordered between its parts. */
  @ParameterizedTest
  @ValueSource(ints = {1, 7, 8_192, 16_384, 50_000})
  void keepsAllBytes(int partBytes) {
    ResponseBody body = new ResponseBody(budget);
    byte[] expected = new byte[100_000];
    for (int i = 0; i < expected.length; i++) {
      expected[i] = (byte) (i * 31 + i / 251);
    }
    for (int from = 0; from < expected.length; from += partBytes) {
      int length = Math.min(partBytes, expected.length - from);
      assertThat(body.append(Unpooled.wrappedBuffer(expected, from, length))).isTrue();
    }

    assertThat(body.toByteArray()).isEqualTo(expected);
    assertThat(budget.usedBytes()).isEqualTo(expected.length);
    body.clear();
    assertThat(budget.usedBytes()).isEqualTo(0);
    assertThat(body.toByteArray()).isEmpty();
  }

  /** Load: bodies just above 1 MB; guards against a heap that exceeds what the budget counts. */
  @Test
  void needLittleMoreMemoryThanTheBudgetCounts() {
    ByteBuf part = Unpooled.wrappedBuffer(new byte[PART_BYTES]);
    List<ResponseBody> bodies = new ArrayList<>();
    long before = usedHeapBytes();
    for (int i = 0; i < LIMIT_BYTES / BODY_BYTES; i++) {
      ResponseBody body = new ResponseBody(budget);
      bodies.add(body);
      for (int size = 0; size < BODY_BYTES; size += PART_BYTES) {
        assertThat(body.append(part.duplicate())).isTrue();
      }
    }
    long used = usedHeapBytes() - before;

    assertThat(bodies).isNotEmpty();
    assertThat(used).isLessThan(budget.usedBytes() * 5 / 4);
  }
}
