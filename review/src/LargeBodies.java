import java.io.BufferedInputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bookings with a timeout of 800 ms at one entry, beside clients that send bodies of the largest size that the
 * configuration allows. In a burst, more of these come at once.
 */
final class LargeBodies {
    private static final int TIMEOUT_MS = 800;
    private static final int DEADLINE_MS = 1_500;
    private static final int BODY_BYTES = 4_194_304;
    private static final int BYTES_PER_S = 500_000;

    /** Three quarters of the 32 clients of a zone, which two machines share unevenly. A burst of a class has x = 2.6. */
    private static final int BOOKING_CLIENTS = 8;
    private static final int USUAL_UPLOADS = 16;
    private static final int BURST_UPLOADS = 41;
    private static final int BURST_MS = 6_300;

    private static final String CONFIG = """
        {"version":1,"routes":[
        {"name":"booking","host":"desk.example","prefix":"/booking/","route_type":"non_idempotent","timeout_ms":800,
         "slo_ms":100,"max_attempts":1,"priority":2,"service":"desk"},
        {"name":"upload","host":"desk.example","prefix":"/upload/","route_type":"non_idempotent","timeout_ms":20000,
         "slo_ms":2700,"max_attempts":1,"priority":1,"service":"desk"}],
        "services":[{"name":"desk","max_conns":110}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
        "tenants":[{"name":"crew","api_keys":["key1"]}]}
        """;

    private final Record record;
    private final Entry entry;
    private final AtomicBoolean isOver = new AtomicBoolean();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger unansweredAtTimeout = new AtomicInteger();
    private final AtomicInteger unansweredLater = new AtomicInteger();
    private final AtomicInteger uploads = new AtomicInteger();
    private final AtomicInteger failedUploads = new AtomicInteger();
    private final AtomicInteger checks = new AtomicInteger();
    private final AtomicInteger missedChecks = new AtomicInteger();

    private LargeBodies(Record record, Entry entry) {
        this.record = record;
        this.entry = entry;
    }

    public static void main(String[] arguments) throws Exception {
        File root = new File(arguments[0]);
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("large-bodies");
        Record record = new Record(Path.of(arguments[1], "record.txt"));
        int status = 2;
        try {
            Store store = new Store("127.0.0.1");
            for (int number = 0; number < 3; number++) new Server(store, record, "127.0.0.1", "desk", "zaal", 15);
            store.put("op", "config", CONFIG);
            Entry entry = new Entry(root, folder, "front-1", "127.71." + (int) (Math.random() * 250) + ".1", "zaal",
                store.address(), List.of(), Settings.SMALL);
            entry.start();
            Threads.sleep(4_000);
            LargeBodies run = new LargeBodies(record, entry);
            run.play(hasTrouble);
            status = run.judge();
            entry.kill();
            record.write("last lines of the log of the entry with an error:");
            Files.readAllLines(entry.log().toPath()).stream().filter(line -> line.contains("\"ERROR\"")).limit(3)
                .forEach(line -> record.write(line.substring(0, Math.min(400, line.length()))));
        } catch (IOException failed) {
            record.write("could not run: " + failed);
        }
        System.exit(status == 1 ? Record.BROKEN : status);
    }

    private void play(boolean hasTrouble) throws Exception {
        for (int client = 0; client < BOOKING_CLIENTS; client++) {
            int number = client;
            Threads.start("booking", () -> book(number));
        }
        Threads.start("readiness", () -> {
            while (!isOver.get()) {
                checks.incrementAndGet();
                if (!entry.isReady()) {
                    missedChecks.incrementAndGet();
                    record.write("readiness check without a 200 within a second");
                }
                Threads.sleep(1_000);
            }
        });
        Threads.sleep(3_000);
        for (int burst = 0; burst < 3; burst++) {
            int count = hasTrouble ? BURST_UPLOADS : USUAL_UPLOADS;
            record.write((hasTrouble ? "burst begins: " : "usual traffic: ") + count + " clients send large bodies");
            long end = System.nanoTime() + BURST_MS * 1_000_000L;
            List<Thread> threads = new ArrayList<>();
            for (int client = 0; client < count; client++) {
                String name = "u" + burst + "-" + client;
                threads.add(Threads.start("upload", () -> upload(name, end)));
            }
            for (Thread thread : threads) thread.join(25_000);
            record.write("the last large body was answered or has failed");
            Threads.sleep(3_000);
        }
        isOver.set(true);
        Threads.sleep(2_500);
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(entry.host, entry.port), 1_000);
        socket.setTcpNoDelay(true);
        return socket;
    }

    private static byte[] head(String path, String id, int deadline, int length) {
        return ("POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id + "\r\nX-Api-Key: key1\r\n"
            + "X-Deadline-Ms: " + deadline + "\r\nContent-Length: " + length + "\r\n\r\n").getBytes();
    }

    private void book(int client) throws Exception {
        Socket socket = null;
        InputStream in = null;
        for (int number = 0; !isOver.get(); number++) {
            String id = "b" + client + "-" + number;
            long sentAt = 0;
            try {
                if (socket == null) {
                    socket = connect();
                    in = new BufferedInputStream(socket.getInputStream());
                }
                byte[] body = "y".repeat(600).getBytes();
                OutputStream out = socket.getOutputStream();
                out.write(head("/booking/1", id, DEADLINE_MS, body.length));
                out.write(body);
                sentAt = System.nanoTime();
                sent.incrementAndGet();
                socket.setSoTimeout(DEADLINE_MS);
                Http.Message answer = Http.head(in);
                if (answer == null) throw new IOException("closed without an answer");
                Http.body(in, answer, true);
                answered.incrementAndGet();
                judge(id, sentAt, "status " + answer.status());
                if ("close".equalsIgnoreCase(answer.header("Connection"))) {
                    socket.close();
                    socket = null;
                }
            } catch (SocketTimeoutException silent) {
                judge(id, sentAt, "no answer until the deadline of the client");
                socket.close();
                socket = null;
            } catch (IOException failed) {
                if (sentAt > 0) judge(id, sentAt, failed.getMessage());
                if (socket != null) socket.close();
                socket = null;
            }
            Threads.sleep(100);
        }
    }

    private void judge(String id, long sentAt, String end) {
        long elapsed = (System.nanoTime() - sentAt) / 1_000_000;
        if (elapsed > TIMEOUT_MS) {
            unansweredAtTimeout.incrementAndGet();
            if (elapsed > TIMEOUT_MS + 500) unansweredLater.incrementAndGet();
            record.write("booking " + id + " unanswered at its timeout; after " + elapsed + " ms: " + end);
        }
    }

    private void upload(String client, long end) throws Exception {
        byte[] part = new byte[BYTES_PER_S / 20];
        for (int number = 0; System.nanoTime() < end; number++) {
            String id = client + "-" + number;
            try (Socket socket = connect()) {
                record.write("sends " + id + " with a body of " + BODY_BYTES + " bytes");
                OutputStream out = socket.getOutputStream();
                out.write(head("/upload/1", id, 20_000, BODY_BYTES));
                for (int left = BODY_BYTES; left > 0; left -= part.length) {
                    out.write(part, 0, Math.min(left, part.length));
                    Threads.sleep(50);
                }
                socket.setSoTimeout(20_000);
                Http.Message answer = Http.head(socket.getInputStream());
                if (answer == null) throw new IOException("closed without an answer");
                uploads.incrementAndGet();
                record.write("answer to " + id + ": status " + answer.status());
            } catch (IOException failed) {
                failedUploads.incrementAndGet();
                record.write("no answer to " + id + ": " + failed.getMessage());
            }
            Threads.sleep(200);
        }
    }

    private int judge() {
        int late = unansweredAtTimeout.get();
        int later = unansweredLater.get();
        record.write("bookings sent " + sent + ", answered " + answered + ", unanswered at timeout_ms " + late
            + ", of these unanswered 0.5 s later " + later);
        record.write("large bodies answered " + uploads + ", not answered " + failedUploads);
        record.write("readiness checks " + checks + ", without a 200 within a second " + missedChecks);
        if (sent.get() < 100) return 2;
        boolean isBroken = later >= 8 && later * 4 > late;
        record.write(isBroken ? "CONFIG is broken" : "CONFIG holds");
        return isBroken ? 1 : 0;
    }
}
