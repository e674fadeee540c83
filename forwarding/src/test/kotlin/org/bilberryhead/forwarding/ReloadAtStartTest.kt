package org.bilberryhead.forwarding

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * An entry that starts. The JVM reports each class when it is initialised, so that a test knows how far the program is
 * without help from the program.
 */
private class StartingEntry(isHangUpIgnored: Boolean = false) : AutoCloseable {
    private val endpoint = ScriptedEndpoint { respond(body = "found") }
    private val store = LoopbackStore(LoopbackDeployment.CONFIGURATION, mapOf("p" to listOf(endpoint)))
    val settings = settingsOfProcess(store.address)
    val process = EntryProcess(settings, listOf("-Xlog:class+init=info"), isHangUpIgnored)

    /** Waits until the program creates its first object of the class [name]. */
    fun awaitInitialised(name: String) = await(NEXT_LOOK) { "Initializing 'org/bilberryhead/forwarding/$name'" in it }

    /** Waits until the entry has written a line that contains each of [parts]. */
    fun awaitLine(vararg parts: String) =
        await(NEXT_CHECK) { output -> output.lines().any { line -> parts.all { it in line } } }

    private fun await(interval: Duration, isReached: (String) -> Boolean) {
        val start = TimeSource.Monotonic.markNow()
        while (!isReached(process.output)) {
            check(process.isAlive) { "the process has ended:\n${process.ownOutput()}" }
            check(start.elapsedNow() < TIME_LIMIT) { "not reached:\n${process.ownOutput()}" }
            TimeUnit.MILLISECONDS.sleep(interval.inWholeMilliseconds)
        }
    }

    /** Sends SIGHUP again and again until the entry is ready; returns how often, or null if the process has ended. */
    fun hangUpUntilReady(): Int? {
        val start = TimeSource.Monotonic.markNow()
        var count = 0
        while (process.isAlive) {
            process.signal("HUP")
            count++
            if (process.isReady()) return count
            check(start.elapsedNow() < TIME_LIMIT) { "not ready:\n${process.ownOutput()}" }
        }
        return null
    }

    /** What the program itself has written, without the reports of the JVM. */
    private fun EntryProcess.ownOutput() = output.lines().filterNot { REPORT in it }.joinToString("\n")

    override fun close() {
        process.close()
        store.close()
        endpoint.close()
    }

    private companion object {
        const val REPORT = "[class,init]"
        val NEXT_LOOK = 1.milliseconds
        val NEXT_CHECK = 50.milliseconds
        val TIME_LIMIT = 30.seconds
    }
}

private const val IGNORED = "settings are not reloaded on SIGHUP"

class ReloadAtStartTest :
    DescribeSpec({
        describe("an entry whose settings file changes while it starts") {
            it("is not ended by a signal that comes after the beginning of its main function") {
                StartingEntry().use { entry ->
                    entry.awaitInitialised("ForwardingCommand")
                    val count = entry.hangUpUntilReady()
                    println("ready after $count times SIGHUP")
                    withClue("the process lives when it is ready") { entry.process.isAlive shouldBe true }
                }
            }

            it("takes settings that changed after it read them and before it could reload") {
                StartingEntry().use { entry ->
                    entry.awaitInitialised("ForwardingDaemon")
                    entry.process.writeSettings(entry.settings.copy(retrySlack = 77.0))
                    entry.process.signal("HUP")
                    entry.awaitLine("\"reloaded\"", "\"retry_slack\":\"77.0\"")
                    entry.process.awaitReady()
                    entry.process.output shouldNotContain IGNORED
                }
            }
        }

        describe("an entry that was started with SIGHUP ignored, as nohup does") {
            it("says that it keeps its settings, as no signal can tell it that they changed") {
                StartingEntry(isHangUpIgnored = true).use { it.awaitLine("\"WARN\"", IGNORED) }
            }
        }
    })
