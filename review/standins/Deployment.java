import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Desired state of a small deployment: one model service, one application service, one tenant. */
final class Deployment {
  static final String HOST = "case.example";
  static final String KEY = "example-key-of-the-case";
  static final String STREAMS = "/stream/";
  static final String RESUMABLE = "/short/";
  static final String MOVES = "/moves/";
  static final String LOOKUPS = "/lookups/";
  static final String ENGINES = "engines";
  static final String APPLICATION = "application";

  private Deployment() {}

  static ObjectNode desiredState(long version) {
    ObjectNode state = Store.JSON.createObjectNode();
    state.put("version", version);
    ArrayNode routes = state.putArray("routes");
    routes.add(route("streams", STREAMS, "streaming", 39_000, 1_800, 1, ENGINES, 1, false));
    routes.add(route("short", RESUMABLE, "streaming", 6_000, 1_500, 0, ENGINES, 2, true));
    routes.add(route("moves", MOVES, "non_idempotent", 1_200, 150, 2, APPLICATION, 1, false));
    routes.add(route("lookups", LOOKUPS, "idempotent", 1_200, 150, 2, APPLICATION, 2, false));
    ArrayNode services = state.putArray("services");
    ObjectNode engines = service(ENGINES, 222);
    engines.set("engine", Store.JSON.createObjectNode().put("slots", 24).put("kv_capacity", 34_322).put("kv_token_bytes", 18_432)
            .put("link_mbps", 2_700.0).put("moves", true).put("backups", true).put("stride", 4).put("most", 12).put("pin_ms", 4_000.0)
            .put("hold_ms", 2_000.0).put("kv_handle_s", 5.0));
    services.add(engines);
    services.add(service(APPLICATION, 96));
    state.putObject("limits").put("max_header_bytes", 16_384).put("max_body_bytes", 4_194_304).put("header_timeout_ms", 3_000)
        .put("idle_timeout_ms", 15_000);
    ObjectNode tenant = state.putArray("tenants").addObject();
    tenant.put("name", "tenant-1").put("priority", 1);
    tenant.putArray("api_keys").add(KEY);
    return state;
  }

  private static ObjectNode route(
      String name, String prefix, String type, int timeout, int target, int priority, String service, int attempts, boolean resumable) {
    return Store.JSON.createObjectNode().put("name", name).put("host", HOST).put("path_prefix", prefix).put("route_type", type)
        .put("timeout_ms", timeout).put("target_latency_ms", target).put("priority", priority).put("service", service)
        .put("max_attempts", attempts).put("anonymous", false).put("sticky", type.equals("streaming")).put("resumable", resumable)
        .put("target_gap_ms", type.equals("streaming") ? 180 : 0);
  }

  private static ObjectNode service(String name, int connections) {
    return Store.JSON.createObjectNode().put("name", name).put("health_path", "/health").put("max_connections", connections)
        .put("protocol", "h1").put("tls", false);
  }
}
