import java.util.List;

/** Configurations as the operator writes them into op/config. */
final class Config {
    /** A route of non-idempotent requests and one of idempotent requests below it, on one host. */
    static String orders(long version, String service, List<String> keys, List<String> services) {
        StringBuilder text = new StringBuilder("{\"version\":" + version + ",\"routes\":[");
        text.append(route("refill-order", "/order/", service, "non_idempotent", 1)).append(',');
        text.append(route("bin-status", "/status/", service, "idempotent", 2));
        text.append("],\"services\":[");
        for (int i = 0; i < services.size(); i++) {
            if (i > 0) text.append(',');
            text.append("{\"name\":\"" + services.get(i) + "\",\"max_conns\":52,\"health_path\":\"/health\"}");
        }
        text.append("],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"depot\",\"api_keys\":[");
        for (int i = 0; i < keys.size(); i++) text.append(i > 0 ? "," : "").append(Json.quote(keys.get(i)));
        return text.append("]}]}").toString();
    }

    private static String route(String name, String prefix, String service, String type, int attempts) {
        return "{\"name\":\"" + name + "\",\"host\":\"grit.example\",\"prefix\":\"" + prefix + "\",\"service\":\"" + service
            + "\",\"route_type\":\"" + type + "\",\"timeout_ms\":1500,\"slo_ms\":300,\"max_attempts\":" + attempts
            + ",\"priority\":2}";
    }

    private Config() {}
}
