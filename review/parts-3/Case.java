import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** What the cases share: the record, the store, the entries, and the end of all that was started. */
abstract class Case {
    static final int HEARTBEAT_MS = 1_200;
    static final int DRAIN_MS = 2_000;
    static final int CONFIG_APPLY_MS = 2_000;
    static final int CONTACT_MS = 3_000;
    static final String HOST = "grit.example";

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final List<Entry> entries = new ArrayList<>();
    final List<Server> servers = new ArrayList<>();
    Record record;
    Store store;
    Path temporary;

    /** Plays the case; returns whether the rule held. */
    abstract boolean play() throws Exception;

    void startEntries(int count, Map<String, String> bounds) throws Exception {
        for (int i = 1; i <= count; i++) {
            String name = "front-" + i;
            entries.add(new Entry(name, "nashua", store.portFor(name), entries.subList(0, Math.min(entries.size(), 3)),
                bounds, temporary));
        }
        for (Entry entry : entries) entry.start();
        for (Entry entry : entries) entry.awaitReady();
    }

    static void run(Case play, String[] arguments) {
        Path folder = Path.of(arguments[0]);
        int code = 2;
        try {
            play.record = new Record(folder.resolve("record.txt"));
            play.temporary = Files.createTempDirectory("review");
            play.record.line("disruption: " + (play.trouble ? "yes" : "no"));
            play.store = new Store(play.record);
            play.store.expireServers(HEARTBEAT_MS);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> play.entries.forEach(Entry::end)));
            code = play.play() ? 0 : 1;
            play.record.say(code == 0 ? "the rule held" : "THE RULE WAS BROKEN");
        } catch (Throwable e) {
            e.printStackTrace();
            if (play.record != null) play.record.say("the case could not run: " + e);
        } finally {
            play.entries.forEach(Entry::end);
            if (code == 2 || System.getenv("KEEP") != null) System.out.println("logs: " + play.temporary);
            else delete(play.temporary);
        }
        Runtime.getRuntime().halt(code);
    }

    private static void delete(Path folder) {
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) Files.delete(file);
            Files.delete(folder);
        } catch (Exception e) {
            // A file that stays in the temporary folder harms nobody.
        }
    }
}
