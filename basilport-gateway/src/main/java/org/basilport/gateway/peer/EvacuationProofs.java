package org.basilport.gateway.peer;

import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.basilport.gateway.backend.EvacuatedDataCentres;
import org.basilport.policy.dispatch.DirectReadBackoff;
import org.basilport.policy.dispatch.StorePosition;
import org.basilport.policy.dispatch.StoreRead;
import org.basilport.protocol.ProofReply;

/**
 * Passes on which data centres are evacuated in the replies to requests for proofs. Such a proof is
 * independent of that of the configuration. Confined to the event loop thread.
 */
final class EvacuationProofs {
  /**
   * Limit on the names in a reply, in bytes, so that the datagram stays below 2,048 bytes. The
   * instances read the store themselves if the names are longer.
   */
  private static final int MAX_NAME_BYTES = 1_500;

  /** Bytes of a name's tag and length. */
  private static final int NAME_OVERHEAD_BYTES = 3;

  private final EvacuatedDataCentres evacuations;
  private final DirectReadBackoff backoff = new DirectReadBackoff();

  EvacuationProofs(EvacuatedDataCentres evacuations) {
    this.evacuations = evacuations;
  }

  /** Reads the store if the own proof is too old; to be called periodically. */
  void readIfOutdated(ConfigurationSubscription subscription) {
    if (evacuations.active() && backoff.tryBeginRead(ageMillis(), System.nanoTime())) {
      subscription.refreshEvacuations();
    }
  }

  private long ageMillis() {
    return evacuations.ageMillis(System.nanoTime(), System.currentTimeMillis());
  }

  /**
   * Adds what this instance knows to a reply.
   *
   * @return whether it is proven and was added
   */
  boolean write(ProofReply.Builder reply) {
    long age = ageMillis();
    Set<String> names = evacuations.stored();
    if (!evacuations.active()
        || age > DirectReadBackoff.MAX_PROOF_AGE_MILLIS
        || bytes(names) > MAX_NAME_BYTES) {
      return false;
    }
    reply
        .setEvacuationsProven(true)
        .addAllEvacuatedDataCentres(names)
        .setEvacuationsIncarnation(evacuations.position().incarnation())
        .setEvacuationsRevision(evacuations.position().revision())
        .setEvacuationsAgeMillis(age);
    return true;
  }

  private static int bytes(Set<String> names) {
    return names.stream()
        .mapToInt(name -> name.getBytes(StandardCharsets.UTF_8).length + NAME_OVERHEAD_BYTES)
        .sum();
  }

  /**
   * Applies the evacuations of a reply. Their proof began at the latest at the time of the request
   * less the age in the reply.
   *
   * @param sentNanos monotonic time at which the request was sent
   * @param sentWallMillis time of day at which the request was sent
   */
  void read(ProofReply reply, long sentNanos, long sentWallMillis) {
    long age = reply.getEvacuationsAgeMillis();
    if (!reply.getEvacuationsProven() || age < 0 || age > DirectReadBackoff.MAX_PROOF_AGE_MILLIS) {
      return;
    }
    long incarnation = reply.getEvacuationsIncarnation();
    evacuations.apply(
        Set.copyOf(reply.getEvacuatedDataCentresList()),
        new StorePosition(incarnation, reply.getEvacuationsRevision()),
        new StoreRead(
            incarnation, sentNanos - TimeUnit.MILLISECONDS.toNanos(age), sentWallMillis - age),
        System.nanoTime());
  }
}
