package org.basilport.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.basilport.misc.Service;
import org.basilport.router.Router;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class DaemonTest {
  private final List<String> steps = new ArrayList<>();
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private final Daemon daemon = new Daemon(router(), List.of(server("first"), server("second")));

  private CompletableFuture<Void> recordStep(String name) {
    steps.add(name);
    return CompletableFuture.completedFuture(null);
  }

  private Router router() {
    return (Router)
        Proxy.newProxyInstance(
            Router.class.getClassLoader(),
            new Class<?>[] {Router.class},
            (proxy, method, arguments) -> {
              CompletableFuture<Void> done = recordStep("router " + method.getName());
              return method.getName().equals("drain") ? drained : done;
            });
  }

  private Service server(String name) {
    return new Service() {
      @Override
      public CompletableFuture<Void> start() {
        return recordStep(name + " start");
      }

      @Override
      public CompletableFuture<Void> stop() {
        return recordStep(name + " stop");
      }
    };
  }

  /** Guards against servers that close while the drain still runs, and against a second drain. */
  @Test
  void stopsInReverseOrderOnlyAfterTheDrain() throws Exception {
    daemon.start().get(10, TimeUnit.SECONDS);
    CompletableFuture<Void> shutdown = daemon.shutDown("test");
    assertThat(daemon.shutDown("again")).isSameInstanceAs(shutdown);
    assertThat(steps)
        .containsExactly("first start", "second start", "router start", "router drain")
        .inOrder();
    assertThat(daemon.terminated().isDone()).isFalse();
    steps.clear();
    drained.complete(null);
    shutdown.get(10, TimeUnit.SECONDS);
    assertThat(steps).containsExactly("router stop", "second stop", "first stop").inOrder();
    assertThat(daemon.terminated().isDone()).isTrue();
  }
}
