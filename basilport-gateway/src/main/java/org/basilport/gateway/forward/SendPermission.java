package org.basilport.gateway.forward;

import java.util.Optional;
import org.basilport.gateway.config.KeyHolder;
import org.basilport.policy.dispatch.SendCheck;
import org.basilport.policy.dispatch.ServerAdmission;

/** Collects the conditions under which an exchange may send its request now. */
final class SendPermission {
  private SendPermission() {}

  /** Checks the conditions for a send to the server that is assigned to the exchange. */
  static SendCheck.Result check(Exchange exchange, ResumePoint resumePoint) {
    ForwardingContext context = exchange.context;
    ServerAdmission admission = exchange.server.load().admission();
    Optional<String> workspace =
        exchange.request.accessKey().flatMap(context.state()::workspaceOfKey);
    return SendCheck.check(
        new SendCheck.Conditions(
            !exchange.callerDisconnected(),
            exchange.remaining().toMillis(),
            exchange.holder.isPresent()
                && !exchange.route.anonymous()
                && exchange.eventCount() == 0,
            workspace.equals(exchange.holder.map(KeyHolder::workspace)),
            context.state().proofAgeMillis(),
            context.limits().maxProofAge().toMillis(),
            exchange.crashGuard.quarantine().isPresent(),
            exchange.server.load().leaving() && resumePoint.kvCache().isEmpty(),
            admission.pause().nanosToEnd(System.nanoTime()) > 0
                && resumePoint.kvCache().isEmpty()));
  }
}
