import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A sound platform store: the calls rows-get, rows-feed and rows-tx, linearizable, without disturbance. */
final class Store {
    private static final class Row {
        String value;
        long version;
        boolean removed;
    }

    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private long version = 1;
    private final ServerSocket listener;

    Store(String host) throws IOException {
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 200);
        Threads.start("store", this::accept);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Writes a row; its text is {@code value}, null removes it. Returning is the ack. */
    synchronized void put(String table, String key, String value) {
        version++;
        set(table, key, value == null ? null : Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
    }

    private void set(String table, String key, String encoded) {
        Row row = tables.computeIfAbsent(table, name -> new TreeMap<>()).computeIfAbsent(key, name -> new Row());
        row.value = encoded;
        row.removed = encoded == null;
        row.version = version;
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            Threads.start("store channel", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            Http.Message request;
            while ((request = Http.head(in)) != null) {
                Http.body(in, request, true);
                answer(request, out);
            }
        }
    }

    private void answer(Http.Message request, OutputStream out) throws IOException {
        String uri = request.uri();
        Map<String, String> query = query(uri);
        int status = 200;
        String body;
        if (uri.startsWith("/v1/rows-get")) {
            body = get(query);
        } else if (uri.startsWith("/v1/rows-feed")) {
            body = feed(query);
        } else if (uri.startsWith("/v1/rows-tx")) {
            body = transact(request.text());
            if (body == null) {
                status = 412;
                body = "{\"rows\":[],\"ver\":" + version + "}";
            }
        } else {
            status = 404;
            body = "{}";
        }
        Threads.sleep(4);
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        out.write(("HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length
            + "\r\n\r\n").getBytes(StandardCharsets.UTF_8));
        out.write(bytes);
        out.flush();
    }

    private static Map<String, String> query(String uri) {
        Map<String, String> result = new HashMap<>();
        for (String pair : uri.substring(uri.indexOf('?') + 1).split("&")) {
            String[] parts = pair.split("=", 2);
            result.put(parts[0], parts.length > 1 ? java.net.URLDecoder.decode(parts[1], StandardCharsets.UTF_8) : "");
        }
        return result;
    }

    private synchronized String get(Map<String, String> query) {
        List<String> rows = new ArrayList<>();
        tables.getOrDefault(query.get("table"), new TreeMap<>())
            .tailMap(query.getOrDefault("from", ""))
            .forEach((key, row) -> {
                if (!row.removed) rows.add(json(query.get("table"), key, row));
            });
        return answer(rows);
    }

    private synchronized String feed(Map<String, String> query) {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        while (true) {
            List<Map.Entry<String, Row>> changed = new ArrayList<>();
            for (Map.Entry<String, Row> entry : tables.getOrDefault(query.get("table"), new TreeMap<>()).entrySet()) {
                if (entry.getValue().version > after) changed.add(entry);
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!changed.isEmpty() || left <= 0) {
                changed.sort((a, b) -> Long.compare(a.getValue().version, b.getValue().version));
                List<String> rows = new ArrayList<>();
                changed.forEach(entry -> rows.add(json(query.get("table"), entry.getKey(), entry.getValue())));
                return answer(rows);
            }
            try {
                wait(left);
            } catch (InterruptedException interrupted) {
                return answer(List.of());
            }
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized String transact(String text) {
        Object call = Json.parse(text);
        for (Map<String, Object> expected : Json.objects(call, "expected_rev")) {
            Row row = tables.getOrDefault((String) expected.get("table"), new TreeMap<>()).get((String) expected.get("key"));
            long current = row == null || row.removed ? 0 : row.version;
            if (current != ((Double) expected.get("ver")).longValue()) return null;
        }
        version++;
        for (Map<String, Object> put : Json.objects(call, "set_keys")) {
            set((String) put.get("table"), (String) put.get("key"), (String) put.get("value"));
        }
        for (Map<String, Object> removal : Json.objects(call, "remove")) {
            set((String) removal.get("table"), (String) removal.get("key"), null);
        }
        notifyAll();
        return answer(List.of());
    }

    private static String json(String table, String key, Row row) {
        return "{\"table\":" + Json.quote(table) + ",\"part\":\"\",\"key\":" + Json.quote(key) + ",\"ver\":" + row.version
            + (row.removed ? ",\"removed\":true}" : ",\"value\":\"" + row.value + "\"}");
    }

    private String answer(List<String> rows) {
        return "{\"rows\":[" + String.join(",", rows) + "],\"truncated\":false,\"ver\":" + version + ",\"now_ms\":"
            + System.nanoTime() / 1_000_000 + "}";
    }
}
