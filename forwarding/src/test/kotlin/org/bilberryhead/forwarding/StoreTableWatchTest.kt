package org.bilberryhead.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.testing.FreePorts
import org.bilberryhead.daemon.MonotonicClock
import org.bilberryhead.daemon.newMeterRegistry
import org.bilberryhead.forwarding.http.Connector
import org.bilberryhead.forwarding.http.SimpleHttpResponse
import org.bilberryhead.forwarding.http.SimpleHttpServer
import org.bilberryhead.forwarding.store.StoreTableWatch
import org.bilberryhead.forwarding.store.TableListener
import org.bilberryhead.forwarding.store.WatchTimings
import org.bilberryhead.platform.wire.StoreRow
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

private const val EMPTY = """{"rows":[],"ver":5}"""
private const val ROW = """{"rows":[{"key":"a","value":"aGk=","ver":5}],"ver":5,"truncated":false}"""
private const val CHANGE = """{"rows":[{"key":"a","removed":true,"ver":6}],"ver":6}"""

/** A store that gives [answers] in turn, and the last one again and again. */
private class ScriptedStore(private val answers: List<SimpleHttpResponse>) : AutoCloseable {
    private val thread = EventThread(
        MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next() as EventLoop,
        MonotonicClock(),
    )
    private val address = SocketAddress("127.0.0.1", FreePorts.next())
    val asked = LinkedBlockingQueue<String>()
    val heard = LinkedBlockingQueue<String>()
    private var next = 0

    init {
        SimpleHttpServer(thread) { request ->
            asked += request.uri()
            answers[minOf(next++, answers.size - 1)]
        }.listen(address)
        val listener = object : TableListener {
            override fun replaced(rows: List<StoreRow>, afterOutage: Boolean) {
                heard += "all ${rows.map { it.key }}" + if (afterOutage) " after an outage" else ""
            }

            override fun changed(rows: List<StoreRow>) {
                heard += "changed ${rows.map { it.key to it.value }}"
            }
        }
        val watch = StoreTableWatch(
            table = "t",
            store = address,
            timings = WatchTimings(wait = 10.milliseconds, pause = 1.milliseconds),
            thread = thread,
            connector = Connector(thread, "X-Request-Id"),
            decisions = DecisionLog(100, thread::now),
            metrics = ForwardingMetrics(newMeterRegistry()),
            random = Random(1),
            listener = listener,
        )
        thread.loop.execute { watch.start() }
    }

    fun nextHeard(): String = checkNotNull(heard.poll(10, TimeUnit.SECONDS)) { "nothing was heard" }

    fun nextAsked(): String = checkNotNull(asked.poll(10, TimeUnit.SECONDS)) { "nothing was asked" }

    override fun close() {
        thread.loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }
}

class StoreTableWatchTest :
    DescribeSpec({
        fun ok(text: String) = SimpleHttpResponse(200, text)

        describe("a table of the store") {
            it("is read whole first, then by its changes after the version that was read") {
                ScriptedStore(listOf(ok(ROW), ok(CHANGE), ok(EMPTY))).use { store ->
                    store.nextHeard() shouldBe "all [a]"
                    store.nextHeard() shouldBe "changed [(a, null)]"
                    listOf(store.nextAsked(), store.nextAsked(), store.nextAsked()) shouldContainExactly listOf(
                        "/v1/rows-get?table=t&part=",
                        "/v1/rows-feed?table=t&after=5&wait_ms=10",
                        "/v1/rows-feed?table=t&after=6&wait_ms=10",
                    )
                }
            }

            it("is read whole again when its history is gone, which is no outage") {
                ScriptedStore(listOf(ok(EMPTY), SimpleHttpResponse(410), ok(ROW), ok(EMPTY))).use { store ->
                    store.nextHeard() shouldBe "all []"
                    store.nextHeard() shouldBe "all [a]"
                }
            }

            for (status in listOf(404, 429, 503)) {
                it("is read whole again after an answer $status, as after an outage") {
                    ScriptedStore(listOf(ok(EMPTY), SimpleHttpResponse(status), ok(ROW), ok(EMPTY))).use { store ->
                        store.nextHeard() shouldBe "all []"
                        store.nextHeard() shouldBe "all [a] after an outage"
                    }
                }
            }

            it("is read whole again after an answer that can not be read") {
                ScriptedStore(listOf(ok(EMPTY), ok("busy"), ok(ROW), ok(EMPTY))).use { store ->
                    store.nextHeard() shouldBe "all []"
                    store.nextHeard() shouldBe "all [a] after an outage"
                }
            }

            it("is read in several calls when an answer is cut off") {
                val first = """{"rows":[{"key":"a","value":"aGk=","ver":5}],"ver":5,"truncated":true}"""
                val second = """{"rows":[{"key":"b","value":"aGk=","ver":5}],"ver":5,"truncated":false}"""
                ScriptedStore(listOf(ok(first), ok(second), ok(EMPTY))).use { store ->
                    store.nextHeard() shouldBe "all [a, b]"
                    store.nextAsked()
                    store.nextAsked() shouldBe "/v1/rows-get?table=t&part=&from=a%00"
                }
            }
        }
    })
