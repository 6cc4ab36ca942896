import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's metadata store: objects by kind and name, lists and watches. */
final class PlatformStore {
  private final Map<String, TreeMap<String, ObjectNode>> kinds = new HashMap<>();
  /** Limits of one response, as the platform names them. */
  private static final int MAX_ENTRIES = 500;

  private static final int MAX_BYTES = 1_048_576;

  /** Mark in a spec for a byte that a writer with another character set put there. */
  static final String LATIN_1_A_ACUTE = "@latin-1-e1@";

  private final Map<Long, Integer> sizes = new HashMap<>();
  private final List<Change> history = new ArrayList<>();
  private final HttpServer server;
  private long revision = 100;
  private volatile boolean down;

  private record Change(long revision, String kind, ObjectNode object, boolean deleted) {}

  PlatformStore(String ip, int port) throws IOException {
    server = HttpServer.create(new InetSocketAddress(ip, port), 256);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "store");
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/", this::handle);
    server.start();
  }

  void stop() {
    server.stop(0);
  }

  /** While down, the store answers 503: nothing was done. */
  void setDown(boolean value) {
    down = value;
  }

  /** Writes an object as its owner; returns when the store holds it, which is the confirmation. */
  synchronized long put(String kind, String name, JsonNode spec) {
    TreeMap<String, ObjectNode> objects = kinds.computeIfAbsent(kind, k -> new TreeMap<>());
    ObjectNode known = objects.get(name);
    ObjectNode object = Json.MAPPER.createObjectNode();
    revision++;
    ObjectNode metadata = object.putObject("metadata");
    metadata.put("name", name).put("revision", revision);
    metadata.put("created", known == null ? revision : known.path("metadata").path("created").asLong());
    metadata.putArray("finalizers");
    metadata.put("deleting", false);
    object.set("spec", spec);
    object.putNull("status");
    objects.put(name, object);
    history.add(new Change(revision, kind, object, false));
    notifyAll();
    return revision;
  }

  synchronized boolean delete(String kind, String name) {
    TreeMap<String, ObjectNode> objects = kinds.getOrDefault(kind, new TreeMap<>());
    ObjectNode known = objects.remove(name);
    if (known == null) {
      return false;
    }
    revision++;
    history.add(new Change(revision, kind, known, true));
    notifyAll();
    return true;
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      byte[] body;
      try (InputStream in = exchange.getRequestBody()) {
        body = in.readAllBytes();
      }
      if (down) {
        send(exchange, 503, Json.MAPPER.createObjectNode());
        return;
      }
      String[] parts = exchange.getRequestURI().getPath().split("/");
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      if (parts.length < 4 || !parts[1].equals("v1") || !parts[2].equals("objects")) {
        send(exchange, 404, Json.MAPPER.createObjectNode());
        return;
      }
      String kind = parts[3];
      String name = parts.length > 4 ? parts[4] : "";
      switch (exchange.getRequestMethod()) {
        case "GET":
          get(exchange, kind, name, query);
          break;
        case "POST":
        case "PUT":
          write(exchange, kind, name, Json.MAPPER.readTree(body));
          break;
        default:
          send(exchange, delete(kind, name) ? 200 : 404, Json.MAPPER.createObjectNode());
          break;
      }
    }
  }

  private void get(HttpExchange exchange, String kind, String name, Map<String, String> query)
      throws IOException {
    if (!name.isEmpty()) {
      ObjectNode object;
      synchronized (this) {
        object = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
      }
      send(exchange, object == null ? 404 : 200, object == null ? Json.MAPPER.createObjectNode() : object);
      return;
    }
    if (query.containsKey("watch")) {
      watch(exchange, kind, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("wait_ms", "0")));
      return;
    }
    ObjectNode response = Json.MAPPER.createObjectNode();
    synchronized (this) {
      ArrayNode entries = response.putArray("entries");
      boolean truncated = false;
      int bytes = 0;
      for (ObjectNode object :
          kinds
              .getOrDefault(kind, new TreeMap<>())
              .tailMap(query.getOrDefault("after", ""), false)
              .values()) {
        int size = size(object);
        if (!entries.isEmpty() && (entries.size() == MAX_ENTRIES || bytes + size > MAX_BYTES)) {
          truncated = true;
          break;
        }
        entries.add(object);
        bytes += size;
      }
      response.put("truncated", truncated).put("as_of", revision);
    }
    send(exchange, 200, response);
  }

  private void watch(HttpExchange exchange, String kind, long since, long waitMillis)
      throws IOException {
    long end = System.nanoTime() + waitMillis * 1_000_000;
    ObjectNode response = Json.MAPPER.createObjectNode();
    synchronized (this) {
      while (true) {
        ArrayNode events = response.putArray("events");
        int bytes = 0;
        response.put("as_of", revision);
        for (Change change : history) {
          if (change.revision > since && change.kind.equals(kind)) {
            bytes += size(change.object);
            if (!events.isEmpty() && bytes > MAX_BYTES) {
              break;
            }
            events.addObject().put("deleted", change.deleted).set("object", change.object);
            response.put("as_of", change.revision);
          }
        }
        long left = (end - System.nanoTime()) / 1_000_000;
        if (!events.isEmpty() || left <= 0) {
          break;
        }
        try {
          wait(left);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          break;
        }
      }
      if (response.path("events").isEmpty()) {
        response.put("as_of", revision);
      }
    }
    if (down) {
      send(exchange, 503, Json.MAPPER.createObjectNode());
      return;
    }
    send(exchange, 200, response);
  }

  private void write(HttpExchange exchange, String kind, String pathName, JsonNode body)
      throws IOException {
    boolean creates = exchange.getRequestMethod().equals("POST");
    String name = creates ? body.path("metadata").path("name").asText() : pathName;
    int status;
    ObjectNode object;
    synchronized (this) {
      ObjectNode known = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
      if (creates && known != null) {
        status = 409;
        object = known;
      } else if (!creates && known == null) {
        status = 404;
        object = Json.MAPPER.createObjectNode();
      } else {
        status = 200;
        if (known == null || !known.path("spec").equals(body.path("spec"))) {
          put(kind, name, body.path("spec"));
        }
        object = kinds.get(kind).get(name);
      }
    }
    send(exchange, status, object);
  }

  private int size(ObjectNode object) {
    return sizes.computeIfAbsent(
        object.path("metadata").path("revision").asLong(), key -> object.toString().length());
  }

  private static void send(HttpExchange exchange, int status, JsonNode body) throws IOException {
    byte[] bytes = asWritten(Json.MAPPER.writeValueAsBytes(body));
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
  }

  /** Replaces the marks by the bytes that stand for them; the store hands out what was written. */
  private static byte[] asWritten(byte[] json) {
    String text = new String(json, StandardCharsets.ISO_8859_1);
    return text.contains(LATIN_1_A_ACUTE)
        ? text.replace(LATIN_1_A_ACUTE, "\u00e1").getBytes(StandardCharsets.ISO_8859_1)
        : json;
  }

  private static Map<String, String> query(String text) {
    Map<String, String> values = new HashMap<>();
    if (text != null) {
      for (String pair : text.split("&")) {
        int equals = pair.indexOf('=');
        values.put(pair.substring(0, Math.max(0, equals)), pair.substring(equals + 1));
      }
    }
    return values;
  }
}
