import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Desired states as the operator writes them. */
final class Config {

	private Config() {
	}

	/** A desired state with one route per service and one tenant that holds the keys. */
	static Map<String, Object> of(long version, String kind, long timeoutMs, List<String> services, List<String> keys) {
		List<Object> routes = new ArrayList<>();
		List<Object> specs = new ArrayList<>();
		for (String service : services) {
			Map<String, Object> route = new LinkedHashMap<>();
			route.put("name", "r-" + service);
			route.put("host", "shop.example");
			route.put("path_prefix", "/" + service + "/");
			route.put("route_kind", kind);
			route.put("timeout_ms", timeoutMs);
			route.put("goal_ms", 120L);
			route.put("priority", 1L);
			route.put("service", service);
			route.put("max_attempts", kind.equals("non_idempotent") ? 1L : 2L);
			route.put("anonymous", false);
			route.put("sticky", false);
			route.put("resumable", false);
			routes.add(route);
			Map<String, Object> spec = new LinkedHashMap<>();
			spec.put("name", service);
			spec.put("health_path", "/healthz");
			spec.put("max_conns", 100L);
			spec.put("protocol", "h1");
			spec.put("tls", false);
			specs.add(spec);
		}
		Map<String, Object> limits = new LinkedHashMap<>();
		limits.put("max_header_bytes", 16_384L);
		limits.put("max_body_bytes", 4_194_304L);
		limits.put("header_timeout_ms", 3_000L);
		limits.put("idle_timeout_ms", 15_000L);
		Map<String, Object> tenant = new LinkedHashMap<>();
		tenant.put("name", "tenant-1");
		tenant.put("api_keys", new ArrayList<Object>(keys));
		tenant.put("priority", 1L);
		Map<String, Object> config = new LinkedHashMap<>();
		config.put("version", version);
		config.put("routes", routes);
		config.put("services", specs);
		config.put("limits", limits);
		config.put("tenants", List.of(tenant));
		return config;
	}

}
