package org.basilport.daemon.http;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.basilport.error.BasilportException;
import org.basilport.error.FailureCode;
import org.basilport.error.LeavingException;
import org.basilport.error.Outcome;
import org.basilport.error.RejectedException;
import org.basilport.error.Step;
import org.basilport.membership.Member;
import org.basilport.membership.MembershipView;
import org.basilport.router.CallResult;
import ratpack.error.ClientErrorHandler;
import ratpack.error.ServerErrorHandler;
import ratpack.exec.Promise;
import ratpack.handling.Context;

/** Writes responses, including those of failures. */
final class Responder implements ServerErrorHandler, ClientErrorHandler {
  static final int OK = 200;
  static final String REQUEST_ID = "Basilport-Request-Id";
  static final String DUPLICATE = "Basilport-Duplicate";
  private static final Logger LOG = LogManager.getLogger(Responder.class);
  private static final String JSON = "application/json";
  private static final int MAX_ALTERNATIVE_ADDRESSES = 3;
  private static final int NOT_FOUND = 404;
  private static final int TOO_LARGE = 413;

  private final MembershipView membership;
  private final int maxBodyBytes;

  Responder(MembershipView membership, int maxBodyBytes) {
    this.membership = membership;
    this.maxBodyBytes = maxBodyBytes;
  }

  void send(Context context, Object body) {
    send(context, OK, body);
  }

  void send(Context context, int status, Object body) {
    context.getResponse().status(status).send(JSON, Json.write(body));
  }

  void sendEvents(Context context, GenerationStream stream) {
    context.header("Cache-Control", "no-cache");
    context.header("Transfer-Encoding", "chunked");
    context.getResponse().contentType("text/event-stream;charset=UTF-8");
    context.getResponse().sendStream(stream);
  }

  /**
   * Sends status and body of an application service; the request id header marks the response as
   * the service's own rather than a failure of the instance.
   */
  void sendCallResult(Context context, CallResult result) {
    context.header(REQUEST_ID, result.requestId());
    context.header(DUPLICATE, String.valueOf(result.duplicate()));
    context.getResponse().status(result.status()).send(JSON, result.body());
  }

  <T> Promise<T> toPromise(Supplier<CompletableFuture<T>> operation) {
    return Promise.async(downstream -> downstream.accept(operation.get()));
  }

  /** Creates the body of a failure, with other instances when this one is leaving or not ready. */
  FailureBody toFailureBody(BasilportException failure) {
    if (failure instanceof LeavingException) {
      return FailureBody.of(failure, ((LeavingException) failure).addresses());
    }
    boolean includeAlternatives =
        failure.code() == FailureCode.LEAVING || failure.code() == FailureCode.NOT_READY;
    return FailureBody.of(failure, includeAlternatives ? alternativeAddresses() : List.of());
  }

  @Override
  public void error(Context context, Throwable thrown) {
    BasilportException failure = BasilportException.unwrap(thrown, Outcome.MAY_HAVE_RUN, Step.SEND);
    if (failure.code() == FailureCode.INTERNAL) {
      LOG.error("request {} failed", context.getRequest().getPath(), thrown);
    }
    failure
        .retryAfter()
        .ifPresent(delay -> context.header("Retry-After", Math.max(1, delay.toSeconds())));
    send(context, failure.code().httpStatus(), toFailureBody(failure));
  }

  @Override
  public void error(Context context, int status) {
    RejectedException failure = clientError(context, status);
    send(context, status, toFailureBody(failure));
  }

  private RejectedException clientError(Context context, int status) {
    if (status == TOO_LARGE) {
      return new RejectedException(
          FailureCode.TOO_LARGE,
          Step.PARSE,
          "request body is larger than " + maxBodyBytes + " bytes");
    }
    FailureCode code = status == NOT_FOUND ? FailureCode.NOT_FOUND : FailureCode.MALFORMED;
    String request =
        context.getRequest().getMethod().getName() + " " + context.getRequest().getPath();
    return new RejectedException(
        code, Step.PARSE, "no such endpoint: " + request + " (status " + status + ")");
  }

  private List<String> alternativeAddresses() {
    String self = membership.self().id();
    return membership.members().stream()
        .filter(member -> member.serving() && !member.id().equals(self))
        .map(Member::address)
        .limit(MAX_ALTERNATIVE_ADDRESSES)
        .toList();
  }
}
