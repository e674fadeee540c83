package org.bilberryhead.forwarding

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.serving.LeaseTimings
import org.bilberryhead.daemon.newMeterRegistry
import org.bilberryhead.forwarding.http.Connector
import org.bilberryhead.forwarding.http.SingleExchange
import org.bilberryhead.forwarding.membership.MembershipService
import org.bilberryhead.forwarding.store.StoreTableWatch
import org.bilberryhead.forwarding.store.StoreWriter
import org.bilberryhead.forwarding.store.TableListener
import org.bilberryhead.forwarding.store.WatchTimings
import org.bilberryhead.platform.testing.RowStoreServer
import org.bilberryhead.platform.wire.RowKey
import org.bilberryhead.platform.wire.WireTables
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** The membership of one entry, which reads and writes [store]. */
private class MemberProcess(id: String, private val store: RowStoreServer) : AutoCloseable {
    private val thread = newEventThread()
    private val connector = Connector(thread, "X-Request-Id")
    private val decisions = DecisionLog(100, thread::now)
    private val unused = SocketAddress("127.0.0.1", 9)
    private val settings = ForwardingSettings(
        id = DaemonId(id),
        dataCentre = DataCentre("x"),
        callers = unused,
        readiness = unused,
        peers = unused,
        metrics = unused,
        store = store.address,
    )
    private val service = MembershipService(
        settings,
        thread,
        StoreWriter(store.address, SingleExchange(thread, connector)),
        decisions,
        Random(id.hashCode()),
        timings = LeaseTimings(renewalInterval = 200.milliseconds, expiry = 2.seconds, leavingExpiry = 1.seconds),
    )

    init {
        thread.loop.execute {
            val entries = watch(WireTables.ENTRIES, service.entries)
            watch(WireTables.LEASES, service.leases)
            service.start { lastAnswerOf(entries) }
        }
    }

    val memberNames: List<String> get() = thread.loop.submit<List<String>> { service.members.map { it.id.value } }.get()

    val shareCount: Int? get() = thread.loop.submit<Int?> { service.shareCount }.get()

    private fun lastAnswerOf(watch: StoreTableWatch): Instant? = watch.lastResponseAt

    private fun watch(table: String, listener: TableListener): StoreTableWatch = StoreTableWatch(
        table = table,
        store = store.address,
        timings = WatchTimings(longPollTimeout = null, delayBetweenCalls = 50.milliseconds),
        thread = thread,
        connector = connector,
        decisions = decisions,
        metrics = ForwardingMetrics(newMeterRegistry()),
        random = Random(1),
        listener = listener,
    ).also { it.start() }

    override fun close() {
        thread.loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }
}

class MembershipServiceTest :
    DescribeSpec({
        describe("entries that register in the store") {
            it("know each other, and share the limits") {
                RowStoreServer().use { store ->
                    val processes = listOf("a", "b", "c").map { MemberProcess(it, store) }
                    for (process in processes) {
                        eventually(10.seconds) {
                            process.memberNames shouldContainExactlyInAnyOrder listOf("a", "b", "c")
                            process.shareCount shouldBe 3
                        }
                    }
                    processes.forEach { it.close() }
                }
            }

            it("no longer count one that has died, and remove its rows") {
                RowStoreServer().use { store ->
                    val survivors = listOf("a", "c").map { MemberProcess(it, store) }
                    val dead = MemberProcess("b", store)
                    eventually(10.seconds) { survivors.first().shareCount shouldBe 3 }
                    dead.close()
                    eventually(20.seconds) {
                        survivors.map { it.shareCount } shouldBe listOf(2, 2)
                        store.rows.keys(WireTables.ENTRIES) shouldBe setOf("a", "c")
                        store.rows.keys(WireTables.LEASES) shouldBe setOf("a", "c")
                    }
                    survivors.forEach { it.close() }
                }
            }
        }

        describe("entries whose rows are lost when the store comes back from a copy") {
            it("count each other all the while, and register again") {
                // Guards against entries that take over the shares of others, which only had no time to write again.
                RowStoreServer().use { store ->
                    val copy = store.rows.copy()
                    val processes = listOf("a", "b", "c").map { MemberProcess(it, store) }
                    eventually(10.seconds) { processes.forEach { it.shareCount shouldBe 3 } }
                    store.rows.restore(copy)
                    val counts = mutableSetOf<Int?>()
                    eventually(10.seconds) {
                        processes.forEach { counts += it.shareCount }
                        store.rows.keys(WireTables.ENTRIES) shouldBe setOf("a", "b", "c")
                    }
                    counts shouldBe setOf(3)
                    processes.forEach { it.close() }
                }
            }
        }

        describe("an entry whose row was removed while it lives") {
            it("registers again") {
                RowStoreServer().use { store ->
                    MemberProcess("a", store).use {
                        eventually(10.seconds) { store.rows.keys(WireTables.ENTRIES) shouldBe setOf("a") }
                        store.rows.remove(RowKey(WireTables.ENTRIES, "a"))
                        eventually(10.seconds) { store.rows.keys(WireTables.ENTRIES) shouldBe setOf("a") }
                    }
                }
            }
        }
    })
