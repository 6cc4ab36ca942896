import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Stand-in of the platform's metadata store: objects by kind and name, lists, watches and conditional writes. */
final class Store {
  static final ObjectMapper JSON = new ObjectMapper();

  private record Event(long revision, String kind, ObjectNode object, boolean deleted) {}

  private final Map<String, TreeMap<String, ObjectNode>> kinds = new HashMap<>();
  private final List<Event> events = new ArrayList<>();
  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private long revision = 100;

  Store(InetSocketAddress address) throws IOException {
    server = HttpServer.create(address, 64);
    server.setExecutor(threads);
    server.createContext("/v1/objects/", this::handle);
    server.start();
  }

  void stop() {
    server.stop(0);
    threads.shutdownNow();
  }

  /** Creates or replaces an object, as an operator or a replica does. */
  synchronized void put(String kind, String name, JsonNode spec) {
    ObjectNode known = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
    revision++;
    ObjectNode object = JSON.createObjectNode();
    ObjectNode metadata = object.putObject("metadata");
    metadata.put("name", name).put("revision", revision);
    metadata.put("created", known == null ? revision : known.path("metadata").path("created").asLong());
    metadata.putArray("finalizers");
    metadata.put("deleting", false);
    object.set("spec", spec);
    object.putNull("status");
    kinds.computeIfAbsent(kind, k -> new TreeMap<>()).put(name, object);
    events.add(new Event(revision, kind, object, false));
    notifyAll();
  }

  synchronized boolean delete(String kind, String name) {
    ObjectNode removed = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
    if (removed == null) {
      return false;
    }
    revision++;
    events.add(new Event(revision, kind, removed, true));
    notifyAll();
    return true;
  }

  private void handle(HttpExchange exchange) {
    try (exchange) {
      String[] path = exchange.getRequestURI().getRawPath().substring("/v1/objects/".length()).split("/");
      String kind = path[0];
      String name = path.length > 1 ? URLDecoder.decode(path[1], StandardCharsets.UTF_8) : "";
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      byte[] body = exchange.getRequestBody().readAllBytes();
      switch (exchange.getRequestMethod()) {
        case "GET":
          if (query.containsKey("watch")) {
            watch(exchange, kind, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("wait_ms", "0")));
          } else if (name.isEmpty()) {
            list(exchange, kind);
          } else {
            get(exchange, kind, name);
          }
          break;
        case "POST":
          write(exchange, kind, JSON.readTree(body).path("metadata").path("name").asText(), JSON.readTree(body), true);
          break;
        case "PUT":
          write(exchange, kind, name, JSON.readTree(body), false);
          break;
        case "DELETE":
          answer(exchange, delete(kind, name) ? 200 : 404, JSON.createObjectNode());
          break;
        default:
          answer(exchange, 405, JSON.createObjectNode());
      }
    } catch (IOException | InterruptedException e) {
      // The caller has gone, or the stand-in stops.
    }
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> values = new HashMap<>();
    if (raw != null) {
      for (String pair : raw.split("&")) {
        int equals = pair.indexOf('=');
        values.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return values;
  }

  private void list(HttpExchange exchange, String kind) throws IOException {
    ObjectNode response = JSON.createObjectNode();
    synchronized (this) {
      ArrayNode entries = response.putArray("entries");
      kinds.getOrDefault(kind, new TreeMap<>()).values().forEach(entries::add);
      response.put("truncated", false).put("as_of", revision);
    }
    answer(exchange, 200, response);
  }

  private void get(HttpExchange exchange, String kind, String name) throws IOException {
    ObjectNode object;
    synchronized (this) {
      object = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
    }
    answer(exchange, object == null ? 404 : 200, object == null ? JSON.createObjectNode() : object);
  }

  private void watch(HttpExchange exchange, String kind, long since, long waitMillis) throws IOException, InterruptedException {
    ObjectNode response = JSON.createObjectNode();
    ArrayNode found = response.putArray("events");
    long end = System.nanoTime() + waitMillis * 1_000_000;
    synchronized (this) {
      while (true) {
        for (Event event : events) {
          if (event.revision > since && event.kind.equals(kind)) {
            found.addObject().put("deleted", event.deleted).set("object", event.object);
          }
        }
        long left = (end - System.nanoTime()) / 1_000_000;
        if (!found.isEmpty() || left <= 0) {
          break;
        }
        wait(left);
      }
      response.put("as_of", revision);
    }
    answer(exchange, 200, response);
  }

  private void write(HttpExchange exchange, String kind, String name, JsonNode object, boolean create) throws IOException {
    ObjectNode written;
    synchronized (this) {
      ObjectNode known = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
      if (create && known != null) {
        written = null;
      } else if (!create && known == null) {
        answer(exchange, 404, JSON.createObjectNode());
        return;
      } else {
        if (known == null || !known.path("spec").equals(object.path("spec"))) {
          put(kind, name, object.path("spec"));
        }
        written = kinds.get(kind).get(name);
      }
      if (written == null) {
        answer(exchange, 409, known);
        return;
      }
    }
    answer(exchange, 200, written);
  }

  private static void answer(HttpExchange exchange, int status, JsonNode body) throws IOException {
    byte[] bytes = JSON.writeValueAsBytes(body);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
  }
}
