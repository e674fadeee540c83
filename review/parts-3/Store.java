import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stand-in of the platform's store: rows, transactions and feeds as PROTOCOL.md has them. Each entry gets a port of its
 * own, so that the record tells which entry was answered what. The operator and the servers call it directly.
 */
final class Store implements AutoCloseable {
    private record Key(String table, String key) {}

    private record Row(byte[] value, long ver) {}

    private record Past(long at, long ver, Map<Key, Row> rows) {}

    private final Record record;
    private final List<ServerSocket> sockets = new ArrayList<>();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private Map<Key, Row> rows = new TreeMap<>(Comparator.comparing(Key::table).thenComparing(Key::key));
    private final List<Past> history = new ArrayList<>();
    private long ver = 100;
    private long oldestFeed = 0;
    private volatile int era = 1;
    private volatile boolean isAway = false;

    /** Whether calls are reset instead of left without an answer while the store is away. */
    private volatile boolean resets = false;

    /** Answers of the feed of a table that held a row: entry, key and text, for the checks of the cases. */
    interface Seen {
        void answered(String entry, String table, String key, String text, long ver);
    }

    volatile Seen seen = (entry, table, key, text, ver) -> {};

    /** Whether the calls of an entry get no answer, or are answered 503. */
    final Map<String, String> refused = new ConcurrentHashMap<>();

    Store(Record record) {
        this.record = record;
    }

    /** Opens a port for the calls of [entry]. */
    int portFor(String entry) throws IOException {
        ServerSocket socket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        sockets.add(socket);
        Threads.start("store-" + entry, () -> {
            while (true) {
                Socket channel = socket.accept();
                open.add(channel);
                Threads.start("store-channel", () -> serve(channel, entry));
            }
        });
        return socket.getLocalPort();
    }

    /**
     * Writes a row as the operator or a server does; waits while the store is away. Returns its version. The entry of a
     * server changes when more than `sequence` changes.
     */
    synchronized long put(String table, String key, String text) throws InterruptedException {
        while (isAway) wait();
        if (table.equals("servers")) beatAt.put(key, Record.now());
        Row known = rows.get(new Key(table, key));
        if (table.equals("servers") && known != null && known.value() != null
            && withoutSequence(new String(known.value(), StandardCharsets.UTF_8)).equals(withoutSequence(text))) {
            return known.ver();
        }
        ver++;
        rows.put(new Key(table, key), new Row(text.getBytes(StandardCharsets.UTF_8), ver));
        changed();
        return ver;
    }

    /** Removes a row. */
    synchronized long remove(String table, String key) throws InterruptedException {
        while (isAway) wait();
        ver++;
        rows.put(new Key(table, key), new Row(null, ver));
        changed();
        return ver;
    }

    /** When each server wrote its row last. */
    private final Map<String, Long> beatAt = new HashMap<>();

    /** Removes the rows of servers that have been silent for three intervals of [heartbeatMs]. */
    void expireServers(long heartbeatMs) {
        Threads.start("expiry", () -> {
            while (true) {
                Thread.sleep(200);
                synchronized (this) {
                    if (isAway) continue;
                    List<String> silent = rows.entrySet().stream()
                        .filter(row -> row.getKey().table().equals("servers") && row.getValue().value() != null)
                        .map(row -> row.getKey().key())
                        .filter(key -> Record.now() - beatAt.getOrDefault(key, 0L) > 3 * heartbeatMs).toList();
                    for (String key : silent) remove("servers", key);
                }
            }
        });
    }

    private static String withoutSequence(String text) {
        return text.replaceAll("\"sequence\":\\d+,", "");
    }

    private void changed() {
        history.add(new Past(Record.now(), ver, new HashMap<>(rows)));
        if (history.size() > 5_000) history.remove(0);
        notifyAll();
    }

    synchronized long version() {
        return ver;
    }

    /**
     * A drill: the store is away for [awayMs] and comes back from a copy that is [ageMs] old. What was written since is
     * gone, and versions are given out again from there on. Calls in progress are reset, or get no answer, and then their
     * channels deliver nothing further.
     */
    void drill(long awayMs, long ageMs, boolean resets) throws InterruptedException {
        long copyAt = Record.now() - ageMs;
        List<Socket> before;
        synchronized (this) {
            isAway = true;
            this.resets = resets;
            before = new ArrayList<>(open);
            notifyAll();
        }
        record.line("store: away");
        if (resets) for (Socket socket : before) Threads.closeHard(socket);
        Thread.sleep(awayMs);
        synchronized (this) {
            Past copy = history.get(0);
            for (Past past : history) if (past.at() <= copyAt) copy = past;
            long lost = ver;
            rows.clear();
            rows.putAll(copy.rows());
            ver = copy.ver();
            history.removeIf(past -> past.ver() > ver);
            beatAt.replaceAll((key, at) -> Record.now());
            era++;
            isAway = false;
            dead.addAll(before);
            record.line("store: back from a copy, version " + lost + " -> " + ver + ", Store-Era " + era);
            notifyAll();
        }
    }

    /**
     * All open channels go silent for good, without a reset; new ones work. Calls that are open on them get no answer.
     */
    synchronized void silenceChannels() {
        dead.addAll(open);
        silences++;
        record.line("store: open channels go silent");
        notifyAll();
    }

    /** Number of times that channels went silent, by which a call in progress knows that it has lost its answer. */
    private volatile int silences = 0;

    /** Channels on which an answer was lost. */
    private final Set<Socket> dead = ConcurrentHashMap.newKeySet();

    private void serve(Socket socket, String entry) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http call = Http.read(in);
                if (call == null) return;
                int eraOfCall = era + silences;
                boolean isLost = isAway || dead.contains(socket);
                String refusal = refused.get(entry);
                if (refusal == null && !isLost) {
                    String answer = answer(call, entry, eraOfCall);
                    refusal = refused.get(entry);
                    if (answer != null && refusal == null) {
                        send(socket, answer);
                        continue;
                    }
                }
                if ("busy".equals(refusal)) {
                    send(socket, "HTTP/1.1 503 Busy\r\nStore-Era: " + era + "\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                if (resets) {
                    Threads.closeHard(socket);
                    return;
                }
                // No answer: nothing further is delivered on this channel.
                dead.add(socket);
            }
        } finally {
            open.remove(socket);
        }
    }

    private void send(Socket socket, String answer) throws IOException {
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    /** Returns the whole answer, or null when the store went away meanwhile. */
    private String answer(Http call, String entry, int eraOfCall) {
        String path = call.target().split("\\?")[0];
        Map<String, String> query = new HashMap<>();
        if (call.target().contains("?")) {
            for (String pair : call.target().substring(call.target().indexOf('?') + 1).split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
            }
        }
        int status = 200;
        String body;
        synchronized (this) {
            if (path.equals("/v1/rows-tx")) {
                Object[] result = transact(call.text());
                status = (int) result[0];
                body = (String) result[1];
            } else if (path.equals("/v1/rows-get")) {
                String from = query.getOrDefault("from", "");
                body = listing(query.get("table"), row -> row.getValue().value() != null
                    && row.getKey().key().compareTo(from) >= 0, entry);
            } else if (path.equals("/v1/rows-feed")) {
                long after = Long.parseLong(query.get("after"));
                long end = Record.now() + Math.min(30_000, Long.parseLong(query.getOrDefault("wait_ms", "0")));
                String table = query.get("table");
                if (after > ver) {
                    record.line("store: " + entry + " feed " + table + " after " + after + " -> 410");
                    return head(410, 0);
                }
                while (!isAway && era + silences == eraOfCall && !hasChange(table, after) && Record.now() < end) {
                    try {
                        wait(Math.max(1, end - Record.now()));
                    } catch (InterruptedException e) {
                        return null;
                    }
                }
                if (isAway || era + silences != eraOfCall) return null;
                body = listing(table, row -> row.getValue().ver() > after, entry);
                if (table.equals("op")) record.line("store: " + entry + " feed op after " + after + " -> ver " + ver
                    + (hasChange(table, after) ? " with a change" : ""));
            } else {
                status = 404;
                body = "{}";
            }
            if (isAway || era + silences != eraOfCall) return null;
        }
        return head(status, body.getBytes(StandardCharsets.UTF_8).length) + body;
    }

    private boolean hasChange(String table, long after) {
        return rows.entrySet().stream().anyMatch(row -> row.getKey().table().equals(table) && row.getValue().ver() > after);
    }

    private String head(int status, int length) {
        return "HTTP/1.1 " + status + " x\r\nContent-Type: application/json\r\nStore-Era: " + era
            + "\r\nContent-Length: " + length + "\r\n\r\n";
    }

    private String listing(String table, java.util.function.Predicate<Map.Entry<Key, Row>> wanted, String entry) {
        StringBuilder out = new StringBuilder();
        rows.entrySet().stream()
            .filter(row -> row.getKey().table().equals(table)).filter(wanted)
            .sorted(Comparator.comparingLong(row -> row.getValue().ver()))
            .forEach(row -> {
                String key = row.getKey().key();
                byte[] value = row.getValue().value();
                if (out.length() > 0) out.append(',');
                out.append("{\"table\":").append(Json.quote(table)).append(",\"part\":\"\",\"key\":").append(Json.quote(key));
                if (value == null) out.append(",\"removed\":true");
                else out.append(",\"value\":\"").append(Base64.getEncoder().encodeToString(value)).append('"');
                out.append(",\"ver\":").append(row.getValue().ver()).append('}');
                seen.answered(entry, table, key, value == null ? null : new String(value, StandardCharsets.UTF_8),
                    row.getValue().ver());
            });
        return "{\"rows\":[" + out + "],\"truncated\":false,\"ver\":" + ver + ",\"now_ms\":" + Record.now() + "}";
    }

    @SuppressWarnings("unchecked")
    private Object[] transact(String text) {
        Map<String, Object> call = (Map<String, Object>) Json.read(text);
        for (Object item : (List<Object>) call.getOrDefault("expected_rev", List.of())) {
            Map<String, Object> fields = (Map<String, Object>) item;
            Row row = rows.get(keyOf(fields));
            long current = row == null || row.value() == null ? 0 : row.ver();
            if (current != (Long) fields.get("ver")) {
                return new Object[] {412, "{\"rows\":[],\"ver\":" + ver + ",\"now_ms\":" + Record.now() + "}"};
            }
        }
        ver++;
        for (Object item : (List<Object>) call.getOrDefault("set_keys", List.of())) {
            Map<String, Object> fields = (Map<String, Object>) item;
            rows.put(keyOf(fields), new Row(Base64.getDecoder().decode((String) fields.get("value")), ver));
        }
        for (Object item : (List<Object>) call.getOrDefault("remove", List.of())) {
            rows.put(keyOf((Map<String, Object>) item), new Row(null, ver));
        }
        changed();
        return new Object[] {200, "{\"ver\":" + ver + ",\"now_ms\":" + Record.now() + "}"};
    }

    private static Key keyOf(Map<String, Object> fields) {
        return new Key((String) fields.get("table"), (String) fields.get("key"));
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket socket : sockets) socket.close();
    }
}
