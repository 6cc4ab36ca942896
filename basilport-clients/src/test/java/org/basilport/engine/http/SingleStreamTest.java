package org.basilport.engine.http;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.basilport.engine.GenerationEnd;
import org.basilport.engine.ModelEngine;
import org.basilport.engine.TokenFrame;
import org.basilport.engine.TokenListener;
import org.basilport.error.BasilportException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.http.FailureBody;
import org.basilport.http.HttpTimeouts;
import org.basilport.http.HttpTransport;
import org.basilport.http.Json;
import org.basilport.http.ScriptedAnswer;
import org.basilport.http.ScriptedServer;
import org.basilport.http.ScriptedServer.End;
import org.basilport.http.ScriptedServer.Script;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Cuts a stream at each byte, lets another answer or the end of the connection follow. */
class SingleStreamTest {
  private static final int OPEN_STREAMS = 48;

  /** Distance of the cuts for which bytes are written a few at a time. */
  private static final int SMALL_WRITES_STRIDE = 11;

  /** Time after which a stream without an end counts as wrong. */
  private static final long MAX_RESULT_SECONDS = 30;

  private static final int CREDITS = 100;
  private static final String STREAM_TYPE = "Content-Type: text/event-stream\r\n";
  private static final String[] OWN = {token(0, "own"), token(1, "own"), end()};
  private static final String[] OTHER = {token(0, "other"), token(1, "other"), end()};
  private static final String[] WITH_COMMENT = {": comment\n\n", token(0, "own"), end()};
  private static final String REFUSAL =
      Json.write(new FailureBody(FailureCode.OVER_LIMIT, Outcome.NOT_RUN, Step.SEND, null, "full"));

  private static final List<ScriptedAnswer> FIRST =
      List.of(
          ScriptedAnswer.chunked(200, "OK", "s1", STREAM_TYPE, OWN),
          ScriptedAnswer.chunked(200, "OK", "s1", STREAM_TYPE, String.join("", OWN)),
          ScriptedAnswer.untilClose(200, "OK", "s1", STREAM_TYPE, String.join("", WITH_COMMENT)),
          ScriptedAnswer.withLength(200, "OK", "s1", "", String.join("", OWN)),
          ScriptedAnswer.withLength(503, "Service Unavailable", "s1", "", REFUSAL));

  private static final List<ScriptedAnswer> NEXT =
      List.of(
          ScriptedAnswer.NONE,
          ScriptedAnswer.withLength(503, "Service Unavailable", "s2", "", REFUSAL),
          ScriptedAnswer.chunked(200, "OK", "s2", STREAM_TYPE, OTHER),
          ScriptedAnswer.untilClose(200, "OK", "s2", STREAM_TYPE, String.join("", OTHER)));

  private final HttpTransport transport = HttpTransport.standalone(2, HttpTimeouts.defaults());
  private final Map<String, Script> scripts = new ConcurrentHashMap<>();
  private final ScriptedServer server =
      new ScriptedServer(path -> scripts.get(path.replaceAll("/v1/generations/|/stream.*", "")));

  @AfterEach
  void stop() {
    transport.close();
    server.close();
  }

  private static String token(long offset, String text) {
    TokenFrame frame = new TokenFrame("g", offset, List.of(text));
    return "data: " + Json.write(CompletionChunk.of(frame)) + "\n\n";
  }

  private static String end() {
    GenerationEnd end = new GenerationEnd("g", 2, GenerationEnd.Reason.STOP);
    return "data: " + Json.write(CompletionChunk.of(end)) + "\n\n";
  }

  /** Guards against a stream that is made of two answers, or ends where its answer stopped. */
  @Test
  void holdsTheTokensOfOneAnswer() throws Exception {
    List<Play> plays = plays();
    Semaphore open = new Semaphore(OPEN_STREAMS);
    ModelEngine engine = new HttpModelEngine(transport, server.address());
    List<CompletableFuture<Reader>> results = new ArrayList<>();
    for (Play play : plays) {
      open.acquire();
      String id = String.valueOf(results.size());
      scripts.put(id, play.script);
      Reader reader = new Reader();
      engine.resume(id, 0, reader).request(CREDITS);
      results.add(
          reader
              .ended
              .completeOnTimeout(reader, MAX_RESULT_SECONDS, TimeUnit.SECONDS)
              .whenComplete((result, failure) -> open.release()));
    }
    List<String> mixed = new ArrayList<>();
    for (int i = 0; i < plays.size(); i++) {
      Reader reader = results.get(i).join();
      if (!plays.get(i).allows(reader)) {
        mixed.add(reader + " after " + plays.get(i).script);
      }
    }

    assertWithMessage("%s wrong streams in %s plays, the first ones", mixed.size(), plays.size())
        .that(mixed.subList(0, Math.min(5, mixed.size())))
        .isEmpty();
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
    private static final String FINISH_REASON = "\"finish_reason\":\"stop\"";

    boolean allows(Reader reader) {
      return reader.result.isPresent() && hasOneAnswer(reader);
    }

    private boolean hasOneAnswer(Reader reader) {
      return isPartOf(reader, first, cut)
          || (cut == 0 && isPartOf(reader, next, Integer.MAX_VALUE));
    }

    private static boolean isPartOf(Reader reader, ScriptedAnswer answer, int cut) {
      String received = answer.bytes().substring(0, Math.min(cut, answer.bytes().length()));
      boolean whole = received.equals(answer.bytes());
      List<String> sent =
          answer.status() == 200
              ? Stream.of("own", "other")
                  .flatMap(
                      text ->
                          Stream.of(token(0, text), token(1, text))
                              .filter(event -> received.contains(event.strip()))
                              .map(event -> text))
                  .toList()
              : List.of();
      boolean prefix =
          reader.tokens.size() <= sent.size()
              && sent.subList(0, reader.tokens.size()).equals(reader.tokens);
      return prefix
          && (!reader.isRefused() || (whole && answer.status() == 503))
          && (!reader.isFinished()
              || (received.contains(FINISH_REASON) && reader.tokens.equals(sent)));
    }
  }

  /** Reads a stream to its end. */
  private static final class Reader implements TokenListener {
    private final List<String> tokens = Collections.synchronizedList(new ArrayList<>());
    private final CompletableFuture<Reader> ended = new CompletableFuture<>();
    private volatile Optional<Object> result = Optional.empty();

    @Override
    public void onTokens(TokenFrame frame) {
      tokens.addAll(frame.tokens());
    }

    @Override
    public void onEnd(GenerationEnd end) {
      complete(end);
    }

    @Override
    public void onFailure(BasilportException cause) {
      complete(cause);
    }

    private void complete(Object received) {
      result = Optional.of(received);
      ended.complete(this);
    }

    boolean isFinished() {
      return result.filter(GenerationEnd.class::isInstance).isPresent();
    }

    boolean isRefused() {
      return result
          .filter(BasilportException.class::isInstance)
          .filter(failure -> ((BasilportException) failure).outcome() == Outcome.NOT_RUN)
          .isPresent();
    }

    @Override
    public String toString() {
      return tokens + " " + result.map(Object::toString).orElse("has no end");
    }
  }
}
