import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/** A version of the configuration adds two tenants whose names have letters beyond Latin-1. */
final class TenantNames {
    private static final int REQUESTS = 20;
    private static final String OLD_TENANTS = """
        {"name":"crew-a","api_keys":["key-a"]},{"name":"crew-b","api_keys":["key-b"]}""";
    private static final String NEW_TENANTS = """
        ,{"name":"Ploeg \u015a","api_keys":["key-c"]},{"name":"Ploeg \u017d","api_keys":["key-d"]}""";

    private TenantNames() {
    }

    private static String config(int version, String tenants) {
        return """
            {"version":%d,"routes":[
            {"name":"booking","host":"desk.example","prefix":"/booking/","route_type":"non_idempotent","timeout_ms":800,
             "slo_ms":100,"max_attempts":1,"priority":2,"service":"desk"}],
            "services":[{"name":"desk","max_conns":110}],
            "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
            "tenants":[%s]}
            """.formatted(version, tenants);
    }

    public static void main(String[] arguments) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[1], "record.txt"));
        int status = 2;
        try {
            status = run(new File(arguments[0]), record, hasTrouble);
        } catch (IOException failed) {
            record.write("could not run: " + failed);
        }
        System.exit(status == 1 ? Record.BROKEN : status);
    }

    private static int run(File root, Record record, boolean hasTrouble) throws Exception {
        Map<String, String> tenantOfRun = new ConcurrentHashMap<>();
        Store store = new Store("127.0.0.1");
        new Server(store, record, "127.0.0.1", "desk", "zaal", 15) {
            @Override
            void answer(Http.Message request, OutputStream out) throws IOException {
                String tenant = request.header("X-Tenant");
                StringBuilder bytes = new StringBuilder();
                for (char octet : (tenant == null ? "" : tenant).toCharArray()) bytes.append(String.format("%02x", (int) octet));
                tenantOfRun.put(request.header("X-Request-Id"), bytes.toString());
                record.write("X-Tenant of " + request.header("X-Request-Id") + ": " + tenant + ", bytes " + bytes);
                super.answer(request, out);
            }
        };
        store.put("op", "config", config(1, OLD_TENANTS));
        Entry entry = new Entry(root, Files.createTempDirectory("tenant-names"), "front-1",
            "127.74." + (int) (Math.random() * 250) + ".1", "zaal", store.address(), List.of(), Settings.SMALL);
        entry.start();
        Threads.sleep(3_000);
        int answered = send(record, entry, "key-a") + send(record, entry, "key-b");
        if (hasTrouble) {
            store.put("op", "config", config(2, OLD_TENANTS + NEW_TENANTS));
            record.write("version 2 is acknowledged: tenants Ploeg \u015a (key-c) and Ploeg \u017d (key-d) were added");
            // config_apply_ms, and a second more.
            Threads.sleep(3_000);
            answered += send(record, entry, "key-c") + send(record, entry, "key-d");
        }
        entry.kill();
        Map<String, TreeSet<String>> keysByTenant = new TreeMap<>();
        tenantOfRun.forEach((id, tenant) ->
            keysByTenant.computeIfAbsent(tenant, name -> new TreeSet<>()).add(id.substring(0, "key-a".length())));
        record.write("answered " + answered + "; keys by the bytes of X-Tenant: " + keysByTenant);
        if (tenantOfRun.size() < REQUESTS) return 2;
        boolean isBroken = keysByTenant.values().stream().anyMatch(keys -> keys.size() > 1);
        record.write(isBroken ? "UNASKED is broken: the server cannot tell two tenants apart" : "UNASKED holds");
        return isBroken ? 1 : 0;
    }

    private static int send(Record record, Entry entry, String key) {
        int answered = 0;
        for (int number = 0; number < REQUESTS; number++) {
            String id = key + "-" + number;
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(entry.host, entry.port), 1_000);
                socket.setSoTimeout(1_500);
                socket.getOutputStream().write(("POST /booking/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id
                    + "\r\nX-Api-Key: " + key + "\r\nX-Deadline-Ms: 1500\r\nContent-Length: 2\r\n\r\nhi")
                    .getBytes(StandardCharsets.US_ASCII));
                InputStream in = socket.getInputStream();
                Http.Message answer = Http.head(in);
                record.write("answer to " + id + ": " + (answer == null ? "none" : answer.first));
                if (answer != null && answer.status() == 200) answered++;
            } catch (IOException failed) {
                record.write("answer to " + id + ": " + failed);
            }
        }
        return answered;
    }
}
