package org.basilport.gateway.forward;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.Optional;
import org.basilport.error.Step;
import org.basilport.gateway.config.KeyHolder;
import org.basilport.policy.dispatch.SendCheck;
import org.basilport.policy.dispatch.ServerAdmission;

/** Decides whether an exchange may send its request now, and ends what must not be sent. */
final class SendPermission {
  private static final String NOT_PROVEN = "key cannot be proven valid";

  private SendPermission() {}

  /**
   * Checks the conditions for a send to the server that is assigned to the exchange, and takes the
   * permit of a cold server if all others are met.
   */
  static SendCheck.Result check(Exchange exchange, ResumePoint resumePoint) {
    SendCheck.Result result = checkConditions(exchange, resumePoint);
    return result != SendCheck.Result.PERMITTED || acquireColdPermit(exchange)
        ? result
        : SendCheck.Result.SERVER_COLD;
  }

  private static boolean acquireColdPermit(Exchange exchange) {
    return exchange
        .context
        .state()
        .servers()
        .coldStarts()
        .tryAcquire(exchange.server.entry(), System.nanoTime());
  }

  private static SendCheck.Result checkConditions(Exchange exchange, ResumePoint resumePoint) {
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
            resumePoint.kvCache().isPresent() || exchange.permitsRun(),
            resumePoint.kvCache().isEmpty()
                ? exchange.server.load().leaving()
                : !exchange.server.leavingForLessThan(context.limits().drainPeriod()),
            admission.pause().nanosToEnd(System.nanoTime()) > 0 && resumePoint.kvCache().isEmpty(),
            admission.evacuated(),
            exchange.regions().permit(exchange.server)));
  }

  /** Ends or places again a request that must not be sent to the assigned server. */
  static void refuse(Exchange exchange, SendCheck.Result result) {
    switch (result) {
      case CALLER_LEFT:
        exchange.finish();
        break;
      case DEADLINE_PASSED:
        exchange.connection = null;
        exchange.onDeadline();
        break;
      case QUARANTINED:
        if (!RequestAdmission.rejectIfQuarantined(exchange)) {
          exchange.placeAgain("quarantine has just ended");
        }
        break;
      case ALREADY_RUN:
        exchange.reject(Step.SEND, "request may have run and must not run again");
        break;
      case SERVER_EVACUATED:
        exchange.context.state().evacuations().recordRefusedSend();
        exchange.onServerUnavailable("data centre of the backend server is evacuated");
        break;
      case SERVER_LEAVING:
      case SERVER_PAUSED:
      case SERVER_COLD:
      case SERVER_OUTSIDE_REGIONS:
        exchange.onServerUnavailable("backend server takes no requests any more: " + result);
        break;
      default:
        failWithoutRetry(exchange, result);
        break;
    }
  }

  /** Ends a request whose key is not accepted any more; an earlier attempt may have executed it. */
  private static void failWithoutRetry(Exchange exchange, SendCheck.Result result) {
    String reason = result == SendCheck.Result.KEY_WITHDRAWN ? "key was withdrawn" : NOT_PROVEN;
    if (result == SendCheck.Result.KEY_WITHDRAWN && !exchange.mayHaveBeenExecuted()) {
      exchange.sendLocalReply(401, new DefaultHttpHeaders(), Step.AUTHENTICATE, reason);
    } else {
      exchange.reject(Step.AUTHENTICATE, reason);
    }
  }
}
