package org.basilport.policy.routing;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Highest-random-weight hashing: each node has a weight per key, and the node with the largest one
 * owns the key. When a node joins or leaves, only the keys that it owns move.
 */
public final class RendezvousHash {

  private RendezvousHash() {}

  /** Returns the nodes ordered by their weight for a key, largest first. */
  public static <T> List<T> rank(String key, Collection<T> nodes, Function<T, String> idOf) {
    List<Weighted<T>> weighted = new ArrayList<>(nodes.size());
    for (T node : nodes) {
      String id = idOf.apply(node);
      weighted.add(new Weighted<>(weight(key, id), id, node));
    }
    Comparator<Weighted<T>> byWeight =
        (first, second) -> Long.compareUnsigned(second.weight, first.weight);
    weighted.sort(byWeight.thenComparing(Weighted::id));
    return weighted.stream().map(Weighted::node).toList();
  }

  /** Returns the node that owns a key, empty when there is none. */
  public static <T> Optional<T> owner(String key, Collection<T> nodes, Function<T, String> idOf) {
    return rank(key, nodes, idOf).stream().findFirst();
  }

  /** Whether a node is among the first {@code count} nodes for a key. */
  public static boolean ranksWithin(String key, Collection<String> ids, String id, int count) {
    return rank(key, ids, Function.identity()).stream().limit(count).anyMatch(id::equals);
  }

  private static long weight(String key, String id) {
    return Hashing.farmHashFingerprint64()
        .newHasher()
        .putString(key, StandardCharsets.UTF_8)
        .putByte((byte) 0)
        .putString(id, StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }

  private record Weighted<T>(long weight, String id, T node) {}
}
