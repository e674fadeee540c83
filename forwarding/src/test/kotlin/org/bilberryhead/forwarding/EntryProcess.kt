package org.bilberryhead.forwarding

import kotlinx.serialization.json.Json
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.testing.http.readMessage
import org.bilberryhead.core.testing.http.writeText
import java.io.IOException
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.io.path.createTempFile
import kotlin.io.path.deleteIfExists
import kotlin.io.path.readText
import kotlin.io.path.useLines
import kotlin.io.path.writeText

/** Returns settings of an entry on the loopback interface that uses the store at [store]. */
internal fun settingsOfProcess(store: SocketAddress) = ForwardingSettings(
    id = DaemonId("entry"),
    dataCentre = DataCentre("x"),
    callers = freeAddress(),
    readiness = freeAddress(),
    peers = freeAddress(),
    metrics = freeAddress(),
    seeds = emptyList(),
    store = store,
)

/**
 * The program as a process of its own. Signals go only to this process, by its process ID.
 *
 * @param jvmOptions further options of the JVM
 * @param isHangUpIgnored whether it starts with SIGHUP ignored, as `nohup` does; if not, it starts with the default
 */
internal class EntryProcess(
    private val settings: ForwardingSettings,
    jvmOptions: List<String> = emptyList(),
    isHangUpIgnored: Boolean = false,
) : AutoCloseable {
    private val settingsFile = createTempFile("entry", ".json")
    private val outputFile = createTempFile("entry", ".log")
    private val process: Process

    init {
        writeSettings(settings)
        val command = listOf(
            "env",
            if (isHangUpIgnored) "--ignore-signal=HUP" else "--default-signal=HUP",
            "${System.getProperty("java.home")}/bin/java",
            "-Xmx96m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
        ) + jvmOptions + listOf(
            "-cp",
            System.getProperty("java.class.path"),
            "org.bilberryhead.forwarding.MainKt",
            "--settings",
            settingsFile.toString(),
        )
        process = ProcessBuilder(command).redirectErrorStream(true).redirectOutput(outputFile.toFile()).start()
    }

    /** Whether the process is running. */
    val isAlive: Boolean get() = process.isAlive

    /** What the process has written so far. */
    val output: String get() = outputFile.readText()

    /** Passes the lines that the process has written so far to [use], one by one. */
    fun <T> useOutputLines(use: (Sequence<String>) -> T): T = outputFile.useLines(block = use)

    /** Puts [changed] in place of the settings file, without a signal. */
    fun writeSettings(changed: ForwardingSettings) =
        settingsFile.writeText(Json.encodeToString(ForwardingSettings.serializer(), changed))

    /** Waits until the entry is ready for callers. */
    fun awaitReady() {
        val isReady = generateSequence { TimeUnit.MILLISECONDS.sleep(100) }.take(300).any { isReady() }
        check(isReady) { "the entry is not ready" }
    }

    /** Whether the entry is ready for callers. */
    fun isReady(): Boolean = try {
        Socket(HOST, settings.readiness.port).use {
            it.getOutputStream().writeText("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            it.getInputStream().readMessage()?.status == 200
        }
    } catch (_: IOException) {
        // The process does not listen yet.
        false
    }

    /** Sends the process [signal], such as `TERM`. */
    fun signal(signal: String) {
        ProcessBuilder("kill", "-$signal", "${process.pid()}").start().waitFor()
    }

    /** Waits for the end of the process; returns whether it ended within [seconds]. */
    fun awaitExit(seconds: Long): Boolean = process.waitFor(seconds, TimeUnit.SECONDS)

    override fun close() {
        process.destroyForcibly().waitFor()
        settingsFile.deleteIfExists()
        outputFile.deleteIfExists()
    }
}
