package org.basilport.gateway.forward;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.basilport.policy.dispatch.ResponseBufferBudget;

/**
 * Body of a response that is kept until it is complete, within the budget of the instance.
 *
 * <p>Kept in blocks: one array that grows would need up to three times its content.
 */
final class ResponseBody {
  private static final int BLOCK_BYTES = 16_384;

  private static final byte[] NO_BYTES = new byte[0];

  private final ResponseBufferBudget budget;
  private final List<byte[]> fullBlocks = new ArrayList<>(0);
  private byte[] block = NO_BYTES;
  private int blockLength;

  ResponseBody(ResponseBufferBudget budget) {
    this.budget = budget;
  }

  /** Appends received bytes; returns false if the body is too large to be kept. */
  boolean append(ByteBuf content) {
    if (!budget.tryReserve(size(), content.readableBytes())) {
      return false;
    }
    while (content.isReadable()) {
      if (blockLength == BLOCK_BYTES) {
        fullBlocks.add(block);
        block = NO_BYTES;
        blockLength = 0;
      }
      int length = Math.min(content.readableBytes(), BLOCK_BYTES - blockLength);
      if (blockLength + length > block.length) {
        int capacity = Math.max(2 * block.length, blockLength + length);
        block = Arrays.copyOf(block, Math.min(BLOCK_BYTES, capacity));
      }
      content.readBytes(block, blockLength, length);
      blockLength += length;
    }
    return true;
  }

  private int size() {
    return fullBlocks.size() * BLOCK_BYTES + blockLength;
  }

  byte[] toByteArray() {
    byte[] bytes = new byte[size()];
    int position = 0;
    for (byte[] full : fullBlocks) {
      System.arraycopy(full, 0, bytes, position, BLOCK_BYTES);
      position += BLOCK_BYTES;
    }
    System.arraycopy(block, 0, bytes, position, blockLength);
    return bytes;
  }

  /** Discards the body and returns its memory to the budget. */
  void clear() {
    budget.release(size());
    fullBlocks.clear();
    block = NO_BYTES;
    blockLength = 0;
  }
}
