package org.bilberryhead.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.quarantine.CrashId
import org.bilberryhead.core.quarantine.CrashReport
import org.bilberryhead.core.serving.PromptPartId
import org.bilberryhead.forwarding.http.Connector
import org.bilberryhead.forwarding.http.SimpleHttpResponse
import org.bilberryhead.forwarding.http.SimpleHttpServer
import org.bilberryhead.forwarding.http.SingleExchange
import org.bilberryhead.forwarding.quarantine.CrashReportPublisher
import org.bilberryhead.forwarding.store.CrashRow
import org.bilberryhead.forwarding.store.StoreWriter
import java.util.Base64
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

private const val OK = 200
private const val UNAVAILABLE = 503

/** A publisher of one report for each call of [crash], and a store that answers its writes with [statuses] in turn. */
private class PublishedReports(private val statuses: List<Int>) : AutoCloseable {
    /** A write that arrived, with the number of reports in its row, and the keys of the rows that it removes. */
    class Write(val at: TimeSource.Monotonic.ValueTimeMark, val reports: Int, val removedKeys: List<String>)

    private val thread = newEventThread()
    private val address = freeAddress()
    private val writes = LinkedBlockingQueue<Write>()
    private val reports = mutableListOf<CrashReport>()
    private var answered = 0
    private val publisher: CrashReportPublisher

    init {
        SimpleHttpServer(thread) { request ->
            val body = Json.parseToJsonElement(request.content().toString(Charsets.UTF_8)).jsonObject
            writes += Write(TimeSource.Monotonic.markNow(), reportsIn(body), removedKeysIn(body))
            SimpleHttpResponse(statuses[minOf(answered++, statuses.size - 1)], """{"ver":1}""")
        }.listen(address)
        val writer = StoreWriter(address, SingleExchange(thread, Connector(thread, "X-Request-Id")))
        publisher = CrashReportPublisher(DaemonId("e"), writer, thread, DecisionLog(100, thread::now)) {
            reports.toList()
        }
    }

    private fun removedKeysIn(body: JsonObject): List<String> =
        body.getValue("remove").jsonArray.map { it.jsonObject.getValue("key").jsonPrimitive.content }

    private fun reportsIn(body: JsonObject): Int {
        val row = body.getValue("set_keys").jsonArray.single().jsonObject
        val text = Base64.getDecoder().decode(row.getValue("value").jsonPrimitive.content).decodeToString()
        return CrashRow.decode(text).shouldNotBeNull().reports.size
    }

    fun allow() = thread.loop.execute { publisher.allow() }

    fun crash(delay: Duration = Duration.ZERO) = thread.loop.execute {
        reports += CrashReport(CrashId(EndpointId("x${reports.size}"), startedAt = 1), setOf(PromptPartId("bad")))
        publisher.publish(delay)
    }

    fun storeRestored(leftKeys: List<String>) = thread.loop.execute { publisher.publishAgain(leftKeys, Duration.ZERO) }

    fun nextWrite(): Write = checkNotNull(writes.poll(10, TimeUnit.SECONDS)) { "nothing was written" }

    fun writeWithin(time: Duration): Write? = writes.poll(time.inWholeMilliseconds, TimeUnit.MILLISECONDS)

    override fun close() {
        thread.loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }
}

class CrashReportPublisherTest :
    DescribeSpec({
        describe("crash reports") {
            it("are not written over the row of an earlier run before that row is known") {
                PublishedReports(listOf(OK)).use {
                    it.crash()
                    it.writeWithin(500.milliseconds).shouldBeNull()
                    it.allow()
                    it.nextWrite().reports shouldBe 1
                }
            }

            it("that follow each other closely are written once, all of them") {
                PublishedReports(listOf(OK)).use {
                    it.allow()
                    repeat(10) { _ -> it.crash(delay = 300.milliseconds) }
                    it.nextWrite().reports shouldBe 10
                    it.writeWithin(1000.milliseconds).shouldBeNull()
                }
            }

            it("are written again when the store has lost them, and rows that it has again without need are removed") {
                // Also when that is known before the response to a write: the store may have lost this write, too.
                PublishedReports(listOf(OK)).use {
                    it.allow()
                    it.crash()
                    it.nextWrite().removedKeys shouldBe emptyList()
                    it.storeRestored(leftKeys = listOf("e", "e/1"))
                    val again = it.nextWrite()
                    again.reports shouldBe 1
                    again.removedKeys shouldBe listOf("e/1")
                }
            }

            it("that change after a write are collected for the next one, which keeps its distance") {
                PublishedReports(listOf(OK)).use {
                    it.allow()
                    it.crash()
                    val first = it.nextWrite()
                    repeat(10) { _ -> it.crash() }
                    val second = it.nextWrite()
                    second.reports shouldBe 11
                    second.at - first.at shouldBeGreaterThanOrEqualTo 500.milliseconds
                    it.writeWithin(1000.milliseconds).shouldBeNull()
                }
            }

            it("are written again after a failure, each time after a longer pause, with those that came meanwhile") {
                PublishedReports(listOf(UNAVAILABLE, UNAVAILABLE, UNAVAILABLE, OK)).use {
                    it.allow()
                    it.crash()
                    val failed = listOf(it.nextWrite(), it.nextWrite(), it.nextWrite())
                    repeat(5) { _ -> it.crash() }
                    val written = it.nextWrite()
                    val pauses = (failed + written).zipWithNext { earlier, later -> later.at - earlier.at }
                    pauses[0] shouldBeGreaterThanOrEqualTo 300.milliseconds
                    pauses[1] shouldBeGreaterThanOrEqualTo 600.milliseconds
                    pauses[2] shouldBeGreaterThanOrEqualTo 1200.milliseconds
                    written.reports shouldBe 6
                    it.writeWithin(1000.milliseconds).shouldBeNull()
                }
            }

            it("that are written after failures are soon written again after the next failure") {
                PublishedReports(listOf(UNAVAILABLE, UNAVAILABLE, UNAVAILABLE, OK, UNAVAILABLE, OK)).use {
                    it.allow()
                    it.crash()
                    repeat(4) { _ -> it.nextWrite() }
                    it.crash()
                    val failed = it.nextWrite()
                    // Without the success, the pause would be 2.4 s.
                    it.nextWrite().at - failed.at shouldBeLessThan 2400.milliseconds
                }
            }
        }
    })
