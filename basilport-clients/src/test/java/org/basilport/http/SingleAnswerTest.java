package org.basilport.http;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.basilport.http.ScriptedServer.End;
import org.basilport.http.ScriptedServer.Script;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Cuts an answer at each byte, lets another one or the end of the connection follow. */
class SingleAnswerTest {
  private static final int OPEN_REQUESTS = 48;

  /** Distance of the cuts for which bytes are written a few at a time. */
  private static final int SMALL_WRITES_STRIDE = 11;

  /** Time after which a request without a result counts as wrong; the read timeout is shorter. */
  private static final long MAX_RESULT_SECONDS = 30;

  private static final String SOUND_PATH = "/sound";
  private static final String OWN = "Request-Id: r1\r\n";
  private static final String OTHER = "Request-Id: r0\r\n";
  private static final HttpTimeouts TIMEOUTS =
      new HttpTimeouts(Duration.ofSeconds(5), Duration.ofSeconds(2), Duration.ofSeconds(20));
  private static final ScriptedAnswer SOUND =
      ScriptedAnswer.withLength(200, "OK", "sound", OWN, "sound");

  private static final List<ScriptedAnswer> FIRST =
      List.of(
          ScriptedAnswer.withLength(200, "OK", "s1", OWN, "first body, thirty bytes long."),
          ScriptedAnswer.withLength(200, "", "s1", "", "ends with H"),
          ScriptedAnswer.withLength(200, "OK", "s1", OWN, "x".repeat(200)),
          ScriptedAnswer.chunked(200, "OK", "s1", OWN, "first", " body in two chunks"),
          ScriptedAnswer.untilClose(200, "OK", "s1", "", "first body until the end"),
          ScriptedAnswer.withoutBody(204, "No Content", "s1", ""),
          ScriptedAnswer.withLength(503, "Service Unavailable", "s1", OWN, "{}"));

  private static final List<ScriptedAnswer> NEXT =
      List.of(
          ScriptedAnswer.NONE,
          ScriptedAnswer.withLength(500, "Internal Server Error", "s2", OWN, "second answer"),
          ScriptedAnswer.withLength(200, "OK", "s2", OWN, "second answer"),
          ScriptedAnswer.withLength(200, "OK", "s2", OTHER, "second answer to another request"),
          ScriptedAnswer.chunked(200, "OK", "s2", OWN, "second answer", " in chunks"),
          ScriptedAnswer.untilClose(500, "", "s2", "", "second answer"));

  private final HttpTransport transport = HttpTransport.standalone(2, TIMEOUTS);
  private final Map<String, Script> scripts = new ConcurrentHashMap<>();
  private final ScriptedServer server =
      new ScriptedServer(
          path ->
              path.equals(SOUND_PATH)
                  ? new Script(List.of(SOUND.bytes()), End.KEEP_OPEN)
                  : scripts.get(path));

  @AfterEach
  void stop() {
    transport.close();
    server.close();
  }

  /** Guards against an answer that is made of two, or of a part of one. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void isPassedOnWholeOrNotAtAll(boolean pooled) throws Exception {
    check(plays().stream().filter(play -> !play.fillsUpExactly()).toList(), pooled);
  }

  /** Guards against a body that another answer, which ends with the connection, just fills up. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void isNotFilledUpByAnAnswerWithoutLength(boolean pooled) throws Exception {
    check(plays().stream().filter(Play::fillsUpExactly).toList(), pooled);
  }

  private void check(List<Play> plays, boolean pooled) throws Exception {
    Semaphore open = new Semaphore(OPEN_REQUESTS);
    List<CompletableFuture<String>> results = new ArrayList<>();
    for (Play play : plays) {
      open.acquire();
      CompletableFuture<String> result = run(play, "/" + results.size(), pooled);
      results.add(result.whenComplete((problem, failure) -> open.release()));
    }
    List<String> mixed =
        results.stream().map(CompletableFuture::join).filter(text -> !text.isEmpty()).toList();

    assertWithMessage("%s wrong answers in %s plays, the first ones", mixed.size(), plays.size())
        .that(mixed.subList(0, Math.min(5, mixed.size())))
        .isEmpty();
  }

  /** Sends a request; completes with what was wrong, or with an empty text. */
  private CompletableFuture<String> run(Play play, String path, boolean pooled) {
    scripts.put(path, play.script);
    HttpTransport ownConnections = new HttpTransport(transport.execController(), TIMEOUTS);
    HttpCall call = HttpCall.of("GET", server.address(), path);
    CompletableFuture<HttpResponse> response =
        pooled
            ? ownConnections
                .exchange(HttpCall.of("GET", server.address(), SOUND_PATH))
                .thenCompose(sound -> ownConnections.exchange(call))
            : ownConnections.exchange(call.onNewConnection());
    return response
        .orTimeout(MAX_RESULT_SECONDS, TimeUnit.SECONDS)
        .handle((answer, failure) -> play.problem(answer, failure))
        .whenCompleteAsync((problem, failure) -> ownConnections.close());
  }

  private static List<Play> plays() {
    List<Play> plays = new ArrayList<>();
    for (ScriptedAnswer first : FIRST) {
      for (ScriptedAnswer next : NEXT) {
        for (int cut = 0; cut <= first.bytes().length(); cut++) {
          boolean small = cut % SMALL_WRITES_STRIDE == 0;
          for (List<String> writes : first.writes(cut, next, small)) {
            plays.add(new Play(first, cut, next, new Script(writes, End.CLOSE)));
            if (next == ScriptedAnswer.NONE) {
              plays.add(new Play(first, cut, next, new Script(writes, End.RESET)));
            }
          }
        }
      }
    }
    return plays;
  }

  private record Play(ScriptedAnswer first, int cut, ScriptedAnswer next, Script script) {
    /** Whether the next answer, without a length of its own, is as long as the missing part. */
    boolean fillsUpExactly() {
      return next.endsWithConnection()
          && next != ScriptedAnswer.NONE
          && first.bytes().contains("Content-Length")
          && first.bytes().length() - cut == next.bytes().length();
    }

    /** Returns what is wrong with a result, or an empty text. */
    String problem(HttpResponse answer, Throwable failure) {
      if (failure instanceof TimeoutException) {
        return "no result after " + script;
      }
      return failure != null || allows(answer) ? "" : describe(answer) + " after " + script;
    }

    private boolean allows(HttpResponse answer) {
      boolean firstIsWhole = cut == first.bytes().length();
      return (firstIsWhole && isAnswer(answer, first))
          || (cut == 0 && isAnswer(answer, next))
          || isEndOfConnection(answer);
    }

    /** Whether the end of the connection stands for the end of the body. */
    private boolean isEndOfConnection(HttpResponse answer) {
      return next == ScriptedAnswer.NONE
          && script.end() == End.CLOSE
          && first.endsWithConnection()
          && answer.status() == first.status()
          && answer.header(ScriptedAnswer.SEAL).equals(Optional.of(first.seal()))
          && first.bytes().substring(0, cut).endsWith("\r\n\r\n" + answer.text());
    }

    private static boolean isAnswer(HttpResponse answer, ScriptedAnswer expected) {
      return answer.status() == expected.status()
          && answer.header(ScriptedAnswer.SEAL).orElse("").equals(expected.seal())
          && answer.text().equals(expected.body());
    }

    private static String describe(HttpResponse answer) {
      String seal = answer.header(ScriptedAnswer.SEAL).orElse("");
      return answer.status() + " " + seal + " " + answer.text();
    }
  }
}
