package org.bilberryhead.soak

import java.io.IOException
import java.net.Socket
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.createDirectories
import kotlin.io.path.writeText
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * An entry that runs as a separate process. Signals go only to this process, by its process ID.
 *
 * @param directory where the settings and the output of the process are written
 * @param storePort port of the store that the entry uses
 */
internal class EntryProcess(number: Int, private val ports: Ports, directory: Path, storePort: Int) {
    /** Ports that the entry listens on. */
    class Ports(val callers: Int, val readiness: Int, val peers: Int, val metrics: Int)

    private val settingsFile = directory.createDirectories().resolve("entry-$number.json")
    private val logFile = directory.resolve("entry-$number.log").toFile()
    private var process: Process? = null

    /** Port that callers connect to. */
    val callerPort: Int get() = ports.callers

    /** Whether the process is running. */
    val isAlive: Boolean get() = process?.isAlive == true

    /** Whether the platform sends new connections to the entry; set by planned work. */
    @Volatile
    var isInRotation = false

    init {
        settingsFile.writeText(
            """
            {"id":"entry-$number","dataCentre":"here","callers":"127.0.0.1:${ports.callers}","readiness":"127.0.0.1:${ports.readiness}",
            "peers":"127.0.0.1:${ports.peers}","metrics":"127.0.0.1:${ports.metrics}","store":"127.0.0.1:$storePort","drainLimit":"6s",
            "retrySlack":200,"decisionLinesPerSecond":2000}
            """.trimIndent(),
        )
    }

    /** Starts the process. */
    fun start() {
        process = ProcessBuilder(
            "${System.getProperty("java.home")}/bin/java", "-Xmx96m", "-Xss256k", "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"),
            "org.bilberryhead.forwarding.MainKt", "--settings", settingsFile.toString(),
        ).redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(logFile)).start()
    }

    /** Sends the process a signal, such as `TERM`. */
    fun signal(name: String) {
        val pid = process?.pid() ?: return
        ProcessBuilder("kill", "-$name", "$pid").redirectErrorStream(true).start().waitFor()
    }

    /** Waits for the process to exit; returns whether it exited within [seconds]. */
    fun awaitExit(seconds: Long): Boolean = process?.waitFor(seconds, TimeUnit.SECONDS) ?: true

    /** Waits until the entry reports that it is ready. */
    fun awaitReady() {
        val start = TimeSource.Monotonic.markNow()
        while (!isReady()) {
            check(start.elapsedNow() < READY_TIMEOUT) { "entry $callerPort is not ready after $READY_TIMEOUT" }
            Thread.sleep(READY_CHECK_INTERVAL_MS)
        }
    }

    /** Whether the entry reports that it is ready. */
    fun isReady(): Boolean = try {
        Socket("127.0.0.1", ports.readiness).use { socket ->
            socket.soTimeout = READ_TIMEOUT_MS
            socket.getOutputStream().write("GET /v1/ready HTTP/1.1\r\nHost: soak\r\n\r\n".encodeToByteArray())
            " 200 " in socket.getInputStream().bufferedReader().readLine().orEmpty()
        }
    } catch (_: IOException) {
        // An entry that does not listen or does not respond in time is not ready.
        false
    }

    private companion object {
        const val READ_TIMEOUT_MS = 1_000
        const val READY_CHECK_INTERVAL_MS = 100L
        val READY_TIMEOUT = 30.seconds
    }
}
