package org.basilport.gateway.forward;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.basilport.error.Step;
import org.basilport.policy.dispatch.Quarantine;

/** Rejects at once the requests that no server may or can run now. */
final class RequestAdmission {
  private RequestAdmission() {}

  /** Rejects a request that would crash the server that runs it; returns whether it was. */
  static boolean rejectIfQuarantined(Exchange exchange) {
    Optional<Quarantine> quarantine = exchange.crashGuard.quarantine();
    quarantine.ifPresent(
        known -> {
          exchange.recorder.quarantined(known);
          exchange.reject(
              Step.ADMIT,
              "content " + Long.toHexString(known.content()) + " crashed several backend servers",
              (known.untilNanos() - System.nanoTime()) / (double) TimeUnit.SECONDS.toNanos(1));
        });
    return quarantine.isPresent();
  }

  /** Rejects a request that could only wait in vain; returns whether it was rejected. */
  static boolean rejectIfUnservable(Exchange exchange) {
    ServiceDispatcher dispatcher = exchange.dispatcher;
    if (rejectIfQuarantined(exchange) || exchange.regions().rejectIfUnavailable(exchange)) {
      return true;
    }
    if (dispatcher.onlyEvacuatedAccept(exchange)) {
      exchange.reject(Step.LOCATE, ServiceDispatcher.EVACUATED);
      return true;
    }
    Optional<String> version = exchange.requiredVersion();
    if (version.isPresent() && !dispatcher.hasServerFor(exchange)) {
      exchange.rejectForGood(Step.LOCATE, "no backend server of version " + version.get());
      return true;
    }
    if (!dispatcher.hasServers()) {
      exchange.reject(Step.LOCATE, "no backend server");
      return true;
    }
    return false;
  }
}
