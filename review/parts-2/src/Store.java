import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Plays the platform's store: rows in tables, transactions, and the feed of changes. Writes of the operator and the
 * servers come to the same address as the calls of the system.
 */
final class Store {
    private record Row(String value, long ver) {}

    private final ServerSocket listener;
    private final Map<String, TreeMap<String, Row>> tables = new TreeMap<>();
    private final Map<String, Long> heardAt = new TreeMap<>();
    private long version = 1;

    Store() throws IOException {
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        daemon("store", this::accept);
    }

    static void daemon(String name, Runnable action) {
        Thread thread = new Thread(action, name);
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    int port() {
        return listener.getLocalPort();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                daemon("store call", () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            while (true) {
                Http.Message request = Http.read(socket.getInputStream(), false);
                if (request == null) return;
                Recorder.sleep(4);
                String[] start = request.startLine().split(" ");
                String[] target = start[1].split("\\?", 2);
                String answer;
                int status = 200;
                switch (target[0]) {
                    case "/v1/rows-get" -> answer = get(query(target[1]));
                    case "/v1/rows-feed" -> answer = feed(query(target[1]));
                    case "/v1/rows-tx" -> {
                        answer = transaction(Json.object(request.text()));
                        if (answer.startsWith("412")) {
                            status = 412;
                            answer = answer.substring(3);
                        }
                    }
                    default -> {
                        status = 404;
                        answer = "{}";
                    }
                }
                Http.write(
                    socket.getOutputStream(),
                    "HTTP/1.1 " + status + " X",
                    Http.headers("Content-Type", "application/json"),
                    answer.getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            // The caller has gone.
        }
    }

    private static Map<String, String> query(String text) {
        Map<String, String> map = new TreeMap<>();
        for (String field : text.split("&")) {
            String[] parts = field.split("=", 2);
            map.put(parts[0], URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
        }
        return map;
    }

    private TreeMap<String, Row> table(String name) {
        return tables.computeIfAbsent(name, key -> new TreeMap<>());
    }

    private synchronized String get(Map<String, String> query) {
        String name = query.get("table");
        List<String> rows = new ArrayList<>();
        String from = query.getOrDefault("from", "");
        table(name).tailMap(from, true).forEach((key, row) -> {
            if (row.value() != null) rows.add(json(name, key, row));
        });
        return answer(rows);
    }

    private synchronized String feed(Map<String, String> query) {
        String name = query.get("table");
        long after = Long.parseLong(query.get("after"));
        long end = Recorder.now() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        while (true) {
            List<Map.Entry<String, Row>> changed = new ArrayList<>();
            table(name).entrySet().stream().filter(entry -> entry.getValue().ver() > after)
                .sorted(Comparator.comparing(entry -> entry.getValue().ver())).forEach(changed::add);
            long left = end - Recorder.now();
            if (!changed.isEmpty() || left <= 0) {
                return answer(changed.stream().map(entry -> json(name, entry.getKey(), entry.getValue())).toList());
            }
            try {
                wait(left);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private String answer(List<String> rows) {
        return "{\"rows\":[" + String.join(",", rows) + "],\"truncated\":false,\"ver\":" + version
            + ",\"now_ms\":" + Recorder.now() + "}";
    }

    private static String json(String table, String key, Row row) {
        String start = "{\"table\":" + Json.quote(table) + ",\"part\":\"\",\"key\":" + Json.quote(key);
        return row.value() == null
            ? start + ",\"removed\":true,\"ver\":" + row.ver() + "}"
            : start + ",\"value\":\"" + row.value() + "\",\"ver\":" + row.ver() + "}";
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> rows(Map<String, Object> root, String name) {
        return (List<Map<String, Object>>) root.getOrDefault(name, List.of());
    }

    private synchronized String transaction(Map<String, Object> root) {
        List<String> conflicts = new ArrayList<>();
        for (Map<String, Object> row : rows(root, "expected_rev")) {
            Row current = table((String) row.get("table")).get((String) row.get("key"));
            long ver = current == null || current.value() == null ? 0 : current.ver();
            if (ver != ((Double) row.get("ver")).longValue()) {
                if (ver > 0) conflicts.add(json((String) row.get("table"), (String) row.get("key"), current));
                else conflicts.add("{\"key\":" + Json.quote((String) row.get("key")) + ",\"ver\":0}");
            }
        }
        if (!conflicts.isEmpty()) return "412" + answer(conflicts);
        boolean isNews = false;
        for (Map<String, Object> row : rows(root, "set_keys")) {
            if (row.get("table").equals("servers")) heardAt.put((String) row.get("key"), Recorder.now());
            Row old = table((String) row.get("table")).get((String) row.get("key"));
            isNews |= !row.get("table").equals("servers") || old == null || old.value() == null
                || !withoutSequence(old.value()).equals(withoutSequence((String) row.get("value")));
        }
        // The entry of a server changes when more than its sequence changes.
        if (!isNews && !root.containsKey("remove")) return answer(List.of());
        version++;
        for (Map<String, Object> row : rows(root, "set_keys")) {
            table((String) row.get("table")).put((String) row.get("key"), new Row((String) row.get("value"), version));
        }
        for (Map<String, Object> row : rows(root, "remove")) {
            table((String) row.get("table")).computeIfPresent((String) row.get("key"), (k, r) -> new Row(null, version));
        }
        notifyAll();
        return answer(List.of());
    }

    private static String withoutSequence(String value) {
        return new String(Base64.getDecoder().decode(value), StandardCharsets.UTF_8).replaceAll("\"sequence\":\\d+", "");
    }

    /** Removes the entries of servers that were silent for three intervals of their heartbeats, from now on. */
    void expireServers(long silenceMs) {
        daemon("expiry", () -> {
            while (true) {
                Recorder.sleep(50);
                synchronized (this) {
                    heardAt.forEach((key, at) -> {
                        Row row = table("servers").get(key);
                        if (row == null || row.value() == null || Recorder.now() - at <= silenceMs) return;
                        Recorder.write("the entry of server %s expires", key);
                        remove("servers", key);
                    });
                }
            }
        });
    }

    /** Puts a row, as the operator or a server does. */
    synchronized void put(String table, String key, String text) {
        version++;
        String value = Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
        table(table).put(key, new Row(value, version));
        notifyAll();
    }

    /** Removes a row if it is there. */
    synchronized void remove(String table, String key) {
        Row row = table(table).get(key);
        if (row == null || row.value() == null) return;
        version++;
        table(table).put(key, new Row(null, version));
        notifyAll();
    }

    /** Returns the text of a row, or null. */
    synchronized String text(String table, String key) {
        Row row = table(table).get(key);
        if (row == null || row.value() == null) return null;
        return new String(Base64.getDecoder().decode(row.value()), StandardCharsets.UTF_8);
    }
}
