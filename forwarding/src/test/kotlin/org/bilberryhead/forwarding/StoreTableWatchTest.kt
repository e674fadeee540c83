package org.bilberryhead.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.testing.FreePorts
import org.bilberryhead.daemon.newMeterRegistry
import org.bilberryhead.forwarding.http.Connector
import org.bilberryhead.forwarding.http.SimpleHttpResponse
import org.bilberryhead.forwarding.http.SimpleHttpServer
import org.bilberryhead.forwarding.store.StoreTableWatch
import org.bilberryhead.forwarding.store.TableListener
import org.bilberryhead.forwarding.store.TableReading
import org.bilberryhead.forwarding.store.WatchTimings
import org.bilberryhead.platform.testing.RowStoreServer
import org.bilberryhead.platform.wire.RowKey
import org.bilberryhead.platform.wire.StoreRow
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val EMPTY = """{"rows":[],"ver":5}"""
private const val ONE_ROW = """{"rows":[{"key":"a","value":"aGk=","ver":5}],"ver":5,"truncated":false}"""
private const val UNUSABLE_KEY = "unusable"
private const val UNUSABLE = """{"rows":[{"key":"$UNUSABLE_KEY","value":"aGk=","ver":6}],"ver":6}"""
private const val NO_CHANGE = """{"rows":[],"ver":6}"""
private const val REMOVAL = """{"rows":[{"key":"a","removed":true,"ver":6}],"ver":6}"""

private const val NEWER = """{"rows":[{"key":"a","value":"aGk=","ver":7}],"ver":7}"""
private const val UNCHANGED = """{"rows":[],"ver":7}"""

/** Time that a sound store may take for one response. */
private val SLOW_RESPONSE = 1200.milliseconds

private val SHORT_TIMINGS = WatchTimings(longPollTimeout = 10.milliseconds, delayBetweenCalls = 1.milliseconds)

/** A watch on a table of the store at [storeAddress], which records what its listener receives. */
private class WatchedTable(
    storeAddress: SocketAddress,
    timings: WatchTimings = SHORT_TIMINGS,
    private val thread: EventThread = newEventThread(),
) : AutoCloseable {
    private val notifications = LinkedBlockingQueue<String>()

    init {
        val listener = object : TableListener {
            override fun onTableRead(rows: List<StoreRow>, reading: TableReading) {
                val outage = if (reading.afterOutage) " after an outage" else ""
                val restore = if (reading.afterRestore) " from a copy" else ""
                notifications += "all ${rows.map { it.key }}$restore$outage"
            }

            override fun onRowsChanged(rows: List<StoreRow>) {
                check(rows.none { it.key == UNUSABLE_KEY }) { "a row that nobody expected" }
                notifications += "changed ${rows.map { it.key to it.value }}"
            }
        }
        val watch = StoreTableWatch(
            table = "t",
            store = storeAddress,
            timings = timings,
            thread = thread,
            connector = Connector(thread, "X-Request-Id"),
            decisions = DecisionLog(100, thread::now),
            metrics = ForwardingMetrics(newMeterRegistry()),
            random = Random(1),
            listener = listener,
        )
        thread.loop.execute { watch.start() }
    }

    fun nextNotification(): String =
        checkNotNull(notifications.poll(10, TimeUnit.SECONDS)) { "the listener received nothing" }

    fun hasNotificationWithin(time: Duration): Boolean =
        notifications.poll(time.inWholeMilliseconds, TimeUnit.MILLISECONDS) != null

    override fun close() {
        thread.loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }
}

/** A store that returns [responses] in turn and then repeats the last one, with a watch on one of its tables. */
private class ScriptedStore(private val responses: List<SimpleHttpResponse>, timings: WatchTimings = SHORT_TIMINGS) :
    AutoCloseable {
    private val thread = newEventThread()
    private val address = SocketAddress("127.0.0.1", FreePorts.next())
    val requestedUris = LinkedBlockingQueue<String>()
    private var next = 0

    init {
        SimpleHttpServer(thread) { request ->
            requestedUris += request.uri()
            responses[minOf(next++, responses.size - 1)]
        }.listen(address)
    }

    private val table = WatchedTable(address, timings, thread)

    fun nextNotification(): String = table.nextNotification()

    fun nextUri(): String = checkNotNull(requestedUris.poll(10, TimeUnit.SECONDS)) { "the store received no call" }

    override fun close() = table.close()
}

private fun newerThan(head: String) = if ("after=5" in head) NEWER else UNCHANGED

/** A store that responds to the first poll of a table with [slowResponse], with a watch on that table. */
private class SlowStore(
    private val slowResponse: ScriptedEndpoint.Exchange.() -> Unit = {
        TimeUnit.MILLISECONDS.sleep(SLOW_RESPONSE.inWholeMilliseconds)
        respond(body = REMOVAL)
    },
    private val afterFirstPoll: ScriptedEndpoint.Exchange.() -> Unit,
) : AutoCloseable {
    private val polls = AtomicInteger()
    private val server = ScriptedEndpoint {
        when {
            "rows-get" in request.head -> respond(body = ONE_ROW)
            polls.incrementAndGet() == 1 -> slowResponse()
            else -> afterFirstPoll()
        }
    }
    val table = WatchedTable(SocketAddress("127.0.0.1", server.address.substringAfter(':').toInt()))

    override fun close() {
        table.close()
        server.close()
    }
}

class StoreTableWatchTest :
    DescribeSpec({
        fun ok(text: String) = SimpleHttpResponse(200, text)

        describe("a table of the store") {
            it("is read completely first, then polled for changes since the version that was read") {
                ScriptedStore(listOf(ok(ONE_ROW), ok(REMOVAL), ok(NO_CHANGE))).use { store ->
                    store.nextNotification() shouldBe "all [a]"
                    store.nextNotification() shouldBe "changed [(a, null)]"
                    listOf(store.nextUri(), store.nextUri(), store.nextUri()) shouldContainExactly listOf(
                        "/v1/rows-get?table=t&part=",
                        "/v1/rows-feed?table=t&after=5&wait_ms=10",
                        "/v1/rows-feed?table=t&after=6&wait_ms=10",
                    )
                }
            }

            it("is read completely again when the store has dropped the history, which is no outage") {
                ScriptedStore(listOf(ok(EMPTY), SimpleHttpResponse(410), ok(ONE_ROW), ok(EMPTY))).use { store ->
                    store.nextNotification() shouldBe "all []"
                    store.nextNotification() shouldBe "all [a]"
                }
            }

            for (status in listOf(404, 429, 503)) {
                it("is read completely again after status $status, as after an outage") {
                    ScriptedStore(listOf(ok(EMPTY), SimpleHttpResponse(status), ok(ONE_ROW), ok(EMPTY))).use { store ->
                        store.nextNotification() shouldBe "all []"
                        store.nextNotification() shouldBe "all [a] after an outage"
                    }
                }
            }

            it("is read completely again after a response that cannot be decoded") {
                ScriptedStore(listOf(ok(EMPTY), ok("busy"), ok(ONE_ROW), ok(EMPTY))).use { store ->
                    store.nextNotification() shouldBe "all []"
                    store.nextNotification() shouldBe "all [a] after an outage"
                }
            }

            it("is read completely again after a second copy of an earlier response") {
                ScriptedStore(listOf(ok(EMPTY), ok(ONE_ROW), ok(ONE_ROW), ok(NO_CHANGE))).use { store ->
                    store.nextNotification() shouldBe "all []"
                    store.nextNotification() shouldBe "all [a] after an outage"
                }
            }

            it("is read completely again after rows that the listener cannot apply") {
                ScriptedStore(listOf(ok(EMPTY), ok(UNUSABLE), ok(EMPTY), ok(REMOVAL), ok(NO_CHANGE))).use { store ->
                    store.nextNotification() shouldBe "all []"
                    store.nextNotification() shouldBe "all [] after an outage"
                    store.nextNotification() shouldBe "changed [(a, null)]"
                }
            }

            it("is not taken for empty by a response to an earlier call that a copy has delayed") {
                val polls = AtomicInteger()
                val store = ScriptedEndpoint {
                    when {
                        "rows-get" in request.head -> respond(body = if (previousId == null) ONE_ROW else EMPTY)
                        // The first poll is answered twice, so this is the response to the second.
                        polls.incrementAndGet() == 3 -> respond(status = "503 Unavailable")
                        else -> respond(body = EMPTY)
                    }
                }
                store.use {
                    WatchedTable(SocketAddress("127.0.0.1", it.address.substringAfter(':').toInt())).use { table ->
                        table.nextNotification() shouldBe "all [a]"
                        table.nextNotification() shouldBe "all [a] after an outage"
                    }
                }
            }

            it("keeps its rows while one response is slow, which is no outage") {
                SlowStore(afterFirstPoll = { awaitClose() }).use { store ->
                    store.table.nextNotification() shouldBe "all [a]"
                    store.table.nextNotification() shouldBe "changed [(a, null)]"
                }
            }

            it("is read by a second call while the first is slow, and never goes back to older rows") {
                SlowStore(afterFirstPoll = { respond(body = newerThan(request.head)) }).use {
                    it.table.nextNotification() shouldBe "all [a]"
                    it.table.nextNotification() shouldBe "changed [(a, hi)]"
                    it.table.hasNotificationWithin(1.seconds) shouldBe false
                }
            }

            it("is read completely again, as after an outage, when neither call is answered") {
                SlowStore(slowResponse = { awaitClose() }, afterFirstPoll = { awaitClose() }).use { store ->
                    store.table.nextNotification() shouldBe "all [a]"
                    store.table.nextNotification() shouldBe "all [a] after an outage"
                }
            }

            it("is read from a store whose every response is slow") {
                val store = ScriptedEndpoint {
                    TimeUnit.MILLISECONDS.sleep(SLOW_RESPONSE.inWholeMilliseconds)
                    respond(body = if ("rows-get" in request.head) ONE_ROW else REMOVAL)
                }
                store.use {
                    WatchedTable(SocketAddress("127.0.0.1", it.address.substringAfter(':').toInt())).use { table ->
                        table.nextNotification() shouldBe "all [a]"
                        table.nextNotification() shouldBe "changed [(a, null)]"
                    }
                }
            }

            it("is read completely when the store has come back from a copy and given out its versions again") {
                // Guards against changes that are never read, since they have lower numbers than the version known.
                RowStoreServer().use { store ->
                    store.rows.put(RowKey("t", "a"), "hi")
                    WatchedTable(store.address).use { table ->
                        table.nextNotification() shouldBe "all [a]"
                        val copy = store.rows.copy()
                        store.rows.put(RowKey("t", "lost"), "hi")
                        table.nextNotification() shouldBe "changed [(lost, hi)]"
                        val written = listOf("x", "y", "z").associate { RowKey("t", it) to "hi" }
                        store.rows.restore(copy, writtenAgain = written)
                        table.nextNotification() shouldBe "all [a, x, y, z] from a copy"
                        store.rows.put(RowKey("t", "b"), "hi")
                        table.nextNotification() shouldBe "changed [(b, hi)]"
                    }
                }
            }

            it("is read completely after an outage from which the store came back with a copy") {
                RowStoreServer().use { store ->
                    store.rows.put(RowKey("t", "a"), "hi")
                    WatchedTable(store.address).use { table ->
                        table.nextNotification() shouldBe "all [a]"
                        store.isUnavailable = true
                        TimeUnit.MILLISECONDS.sleep(100)
                        store.rows.restore(store.rows.copy())
                        store.isUnavailable = false
                        table.nextNotification() shouldBe "all [a] from a copy after an outage"
                    }
                }
            }

            it("is not read on from a response that was made before the store came back") {
                val polls = AtomicInteger()
                val store = ScriptedEndpoint {
                    val isReading = "rows-get" in request.head
                    val era = if (isReading || polls.incrementAndGet() > 1) 2 else 1
                    respond(body = if (isReading) ONE_ROW else REMOVAL, headers = "Store-Era: $era\r\n")
                }
                store.use {
                    WatchedTable(SocketAddress("127.0.0.1", it.address.substringAfter(':').toInt())).use { table ->
                        table.nextNotification() shouldBe "all [a]"
                        table.nextNotification() shouldBe "all [a] after an outage"
                        table.nextNotification() shouldBe "changed [(a, null)]"
                    }
                }
            }

            it("is polled at short intervals after it was read completely, then at long ones") {
                val timings = WatchTimings(
                    longPollTimeout = 10.milliseconds,
                    delayBetweenCalls = 1.hours,
                    delayAfterRead = 1.milliseconds,
                    catchUpTime = 100.milliseconds,
                )
                ScriptedStore(listOf(ok(EMPTY)), timings).use { store ->
                    repeat(3) { store.nextUri() }
                    // The last call of the catching up is followed by none for an hour.
                    generateSequence { store.requestedUris.poll(500, TimeUnit.MILLISECONDS) }.count()
                    store.requestedUris.poll(500, TimeUnit.MILLISECONDS) shouldBe null
                }
            }

            it("is read on after a key with characters that a path cannot hold") {
                val first = """{"rows":[{"key":"a&b=#\n%ü +","value":"aGk=","ver":5}],"ver":5,"truncated":true}"""
                ScriptedStore(listOf(ok(first), ok(ONE_ROW), ok(EMPTY))).use { store ->
                    store.nextNotification()
                    store.nextUri()
                    store.nextUri() shouldBe "/v1/rows-get?table=t&part=&from=a%26b%3D%23%0A%25%C3%BC%20%2B%00"
                }
            }

            it("is not read without end when a store returns the same rows again and again") {
                val first = """{"rows":[{"key":"a","value":"aGk=","ver":5}],"ver":5,"truncated":true}"""
                ScriptedStore(listOf(ok(first), ok(first), ok(ONE_ROW), ok(EMPTY))).use { store ->
                    store.nextNotification() shouldBe "all [a] after an outage"
                }
            }

            it("is polled from the version of its first part, which may change while others are read") {
                val first = """{"rows":[{"key":"a","value":"aGk=","ver":5}],"ver":5,"truncated":true}"""
                val second = """{"rows":[{"key":"b","value":"aGk=","ver":7}],"ver":7,"truncated":false}"""
                ScriptedStore(listOf(ok(first), ok(second), ok(REMOVAL), ok(NO_CHANGE))).use { store ->
                    store.nextNotification() shouldBe "all [a, b]"
                    store.nextNotification() shouldBe "changed [(a, null)]"
                }
            }

            it("is read in several calls when a response is truncated") {
                val first = """{"rows":[{"key":"a","value":"aGk=","ver":5}],"ver":5,"truncated":true}"""
                val second = """{"rows":[{"key":"b","value":"aGk=","ver":5}],"ver":5,"truncated":false}"""
                ScriptedStore(listOf(ok(first), ok(second), ok(EMPTY))).use { store ->
                    store.nextNotification() shouldBe "all [a, b]"
                    store.nextUri()
                    store.nextUri() shouldBe "/v1/rows-get?table=t&part=&from=a%00"
                }
            }
        }
    })
