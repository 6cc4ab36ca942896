package org.basilport.daemon.http;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import org.basilport.config.AcceptedConfiguration;
import org.basilport.config.ConfigurationChange;
import org.basilport.delivery.GenerationHandle;
import org.basilport.delivery.GenerationListener;
import org.basilport.error.FailureCode;
import org.basilport.error.RejectedException;
import org.basilport.error.Step;
import org.basilport.membership.Location;
import org.basilport.membership.Member;
import org.basilport.membership.MemberHealth;
import org.basilport.membership.MemberStatus;
import org.basilport.membership.MembershipView;
import org.basilport.router.CallRequest;
import org.basilport.router.CallResult;
import org.basilport.router.Credentials;
import org.basilport.router.Readiness;
import org.basilport.router.Router;

/** Router that records calls of the handlers and returns preset results. */
final class FakeRouter implements GenerationHandle {
  final BlockingQueue<GenerationListener> started = new LinkedBlockingQueue<>();
  final BlockingQueue<String> resumed = new LinkedBlockingQueue<>();
  final BlockingQueue<CallRequest> calls = new LinkedBlockingQueue<>();
  final Semaphore batches = new Semaphore(0);
  final CompletableFuture<Void> detached = new CompletableFuture<>();
  volatile Readiness readiness = Readiness.SERVING;
  volatile RuntimeException failure;

  /** Returns a proxy of {@link Router}; methods that no test uses throw. */
  Router router() {
    return (Router)
        Proxy.newProxyInstance(
            Router.class.getClassLoader(),
            new Class<?>[] {Router.class},
            (proxy, method, arguments) -> invoke(method.getName(), arguments));
  }

  private Object invoke(String method, Object[] arguments) {
    switch (method) {
      case "locate":
        authenticate((Credentials) arguments[0]);
        return new Location(List.of("127.0.0.1:1"), Duration.ofSeconds(30));
      case "generate":
        return start((Credentials) arguments[0], (GenerationListener) arguments[2]);
      case "resume":
        resumed.add((String) arguments[1]);
        return start((Credentials) arguments[0], (GenerationListener) arguments[2]);
      case "call":
        calls.add((CallRequest) arguments[1]);
        return CompletableFuture.completedFuture(new CallResult("r-1", 201, "{}", false));
      case "applyConfiguration":
        return CompletableFuture.completedFuture(accepted((ConfigurationChange) arguments[0]));
      case "readiness":
        return readiness;
      case "configuration":
        return (org.basilport.config.ConfigurationView) Optional::empty;
      case "membership":
        return membership();
      case "activeRequests":
        return List.of("r-1");
      default:
        throw new UnsupportedOperationException(method);
    }
  }

  private GenerationHandle start(Credentials credentials, GenerationListener listener) {
    authenticate(credentials);
    if (failure != null) {
      throw failure;
    }
    started.add(listener);
    return this;
  }

  private static void authenticate(Credentials credentials) {
    if (!credentials.key().equals("workspace-key")) {
      throw new RejectedException(FailureCode.FORBIDDEN, Step.AUTHENTICATE, "wrong key");
    }
  }

  private static AcceptedConfiguration accepted(ConfigurationChange change) {
    return new AcceptedConfiguration(
        1, change.applyId(), change.author(), java.time.Instant.EPOCH, change.deployment());
  }

  private static MembershipView membership() {
    return new MembershipView() {
      @Override
      public Member self() {
        return member("entry-1", "127.0.0.1:1");
      }

      @Override
      public List<Member> members() {
        return List.of(self(), member("entry-2", "127.0.0.1:2"));
      }

      @Override
      public Optional<Member> owner(String key) {
        return Optional.of(self());
      }
    };
  }

  private static Member member(String id, String address) {
    return new Member(
        id, 1, MemberStatus.SERVING, MemberHealth.ALIVE, "r", "dc", address, address, 1, 0);
  }

  @Override
  public String requestId() {
    return "r-1";
  }

  @Override
  public void request(int count) {
    batches.release(count);
  }

  @Override
  public void detach() {
    detached.complete(null);
  }

  @Override
  public void cancel() {}
}
