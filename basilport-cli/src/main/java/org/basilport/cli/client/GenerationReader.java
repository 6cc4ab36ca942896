package org.basilport.cli.client;

import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.basilport.daemon.http.FailureBody;
import org.basilport.daemon.http.Json;
import org.basilport.daemon.http.StreamEventData;
import org.basilport.delivery.GenerationRequest;
import org.basilport.error.BasilportException;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.error.UnavailableException;

/**
 * Reads one generation over several connections.
 *
 * <p>After a {@code resume} event or a lost connection, reading resumes after the last received
 * event, so that no token is repeated or missed.
 */
final class GenerationReader {
  private static final int MAX_RECONNECTS = 20;
  private static final long RECONNECT_DELAY_MILLIS = 100;

  private final CallerClient caller;
  private final InstanceClient client;
  private final TokenConsumer consumer;
  private List<String> addresses;
  private String lastEventId = "";
  private long nextOffset;
  private int reconnects;
  private GenerationSummary summary;

  GenerationReader(CallerClient caller, InstanceClient client, TokenConsumer consumer) {
    this.caller = caller;
    this.client = client;
    this.consumer = consumer;
  }

  GenerationSummary read(GenerationRequest request) {
    addresses = new ArrayList<>(caller.locate(request.route()).addresses());
    String body = Json.write(request);
    readEvents(
        caller.tryInOrder(
            addresses,
            address ->
                new Connection(
                    address,
                    client.open(address, "POST", "/v1/generations", caller.headers(), body))));
    while (summary == null) {
      countReconnect();
      readEvents(resume());
    }
    return summary;
  }

  /**
   * Reports a failed resume as LOST_PART_WAY whatever its own outcome, since the generation already
   * ran.
   */
  private Connection resume() {
    try {
      return caller.tryInOrder(addresses, this::reopen);
    } catch (BasilportException e) {
      throw new BasilportException(
          e.code(),
          Outcome.LOST_PART_WAY,
          e.step(),
          e.peer(),
          e.retryAfter().orElse(null),
          "cannot resume the stream: " + e.getMessage(),
          e);
    }
  }

  private Connection reopen(String address) {
    Map<String, String> headers = caller.headers();
    headers.put("Last-Event-ID", lastEventId);
    HttpResponse<InputStream> response =
        client.open(address, "GET", "/v1/generations/events", headers, "");
    consumer.onReconnect(address);
    return new Connection(address, response);
  }

  private void readEvents(Connection connection) {
    try (ServerSentEventReader events = new ServerSentEventReader(connection.response.body())) {
      boolean open = true;
      while (open) {
        open = events.next().map(event -> handle(event, connection.address)).orElse(false);
      }
    } catch (IOException e) {
      moveToLastPlace(connection.address, e);
      return;
    }
    if (summary == null && lastEventId.isEmpty()) {
      throw InstanceClient.failure(
          connection.address,
          Outcome.MAY_HAVE_RUN,
          Step.STREAM,
          "stream ended before its first token",
          null);
    }
  }

  /** Returns whether more events follow on this connection. */
  private boolean handle(ReceivedEvent event, String address) {
    switch (event.event()) {
      case "token":
        StreamEventData.Tokens tokens = decode(event, StreamEventData.Tokens.class, address);
        lastEventId = event.id();
        checkOffset(tokens.offset(), address);
        nextOffset += tokens.tokens().size();
        consumer.onTokens(tokens.offset(), tokens.tokens());
        return true;
      case "end":
        StreamEventData.End end = decode(event, StreamEventData.End.class, address);
        checkOffset(end.totalTokens(), address);
        summary = new GenerationSummary(end.totalTokens(), end.reason(), reconnects);
        return false;
      case "resume":
        StreamEventData.Resume resume = decode(event, StreamEventData.Resume.class, address);
        lastEventId = resume.resumeToken();
        if (!resume.addresses().isEmpty()) {
          addresses = new ArrayList<>(resume.addresses());
        }
        return false;
      case "error":
        throw new RemoteFailureException(decode(event, FailureBody.class, address));
      default:
        return true;
    }
  }

  private <T> T decode(ReceivedEvent event, Class<T> type, String address) {
    try {
      return Json.readResponse(event.data(), type, address);
    } catch (UnavailableException e) {
      throw streamFailure(address, "event " + event.event() + " without its data", e);
    }
  }

  /** Checks that no token is missing or repeated before a position of the generation. */
  private void checkOffset(long offset, String address) {
    if (offset != nextOffset) {
      String problem = "token " + offset + " follows " + nextOffset + " received tokens";
      throw streamFailure(address, problem, null);
    }
  }

  private UnavailableException streamFailure(String address, String problem, Exception cause) {
    Outcome outcome = lastEventId.isEmpty() ? Outcome.MAY_HAVE_RUN : Outcome.LOST_PART_WAY;
    return InstanceClient.failure(address, outcome, Step.STREAM, problem, cause);
  }

  private void moveToLastPlace(String address, IOException cause) {
    if (lastEventId.isEmpty()) {
      throw InstanceClient.failure(
          address,
          Outcome.MAY_HAVE_RUN,
          Step.STREAM,
          "connection lost before the first token of the stream",
          cause);
    }
    addresses.remove(address);
    addresses.add(address);
  }

  private void countReconnect() {
    reconnects++;
    if (reconnects > MAX_RECONNECTS) {
      throw InstanceClient.failure(
          String.join(",", addresses),
          Outcome.LOST_PART_WAY,
          Step.STREAM,
          "stream ended " + reconnects + " times without an end event",
          null);
    }
    try {
      Thread.sleep(RECONNECT_DELAY_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private record Connection(String address, HttpResponse<InputStream> response) {}
}
