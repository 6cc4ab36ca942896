package org.basilport.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.io.ByteArrayOutputStream;
import org.basilport.policy.dispatch.ResponseBufferBudget;

/** Body of a response that is kept until it is complete, within the budget of the instance. */
final class ResponseBody {
  private final ResponseBufferBudget budget;
  private ByteArrayOutputStream bytes = new ByteArrayOutputStream(0);

  ResponseBody(ResponseBufferBudget budget) {
    this.budget = budget;
  }

  /** Appends received bytes; returns false if the body is too large to be kept. */
  boolean append(ByteBuf content) {
    if (!budget.tryReserve(bytes.size(), content.readableBytes())) {
      return false;
    }
    bytes.writeBytes(ByteBufUtil.getBytes(content));
    return true;
  }

  byte[] toByteArray() {
    return bytes.toByteArray();
  }

  /** Discards the body and returns its memory to the budget. */
  void clear() {
    budget.release(bytes.size());
    bytes = new ByteArrayOutputStream(0);
  }
}
