package org.bilberryhead.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeSameInstanceAs
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.serving.EntryRecord
import org.bilberryhead.forwarding.http.Connector
import org.bilberryhead.forwarding.peer.PeerClient
import org.bilberryhead.forwarding.peer.Peers
import java.util.concurrent.TimeUnit

class PeersTest :
    DescribeSpec({
        val thread = newEventThread()
        afterSpec { thread.loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS) }

        val decisions = DecisionLog(linesPerSecond = 0, thread::now)
        val connector = Connector(thread, "X-Request-Id")
        val pool = PoolName("p")

        fun record(id: String, incarnation: Long = 1) =
            EntryRecord(DaemonId(id), DataCentre("x"), SocketAddress("127.0.0.1", 9), processorCores = 1.0, incarnation)

        describe("a peer that was marked unavailable") {
            it("stays unavailable while its process runs, and is usable again as soon as it has restarted") {
                var other = record("other")
                val peers = Peers(DaemonId("own"), { listOf(record("own"), other) }) {
                    PeerClient(it, thread, decisions, connector)
                }
                fun client() = checkNotNull(peers.of(pool).first { (record, _) -> record.id == other.id }.second)

                val first = client()
                first.markUnavailable()
                client() shouldBeSameInstanceAs first
                client().isUsable shouldBe false
                other = other.copy(isLeaving = true)
                client().isUsable shouldBe false
                other = record("other", incarnation = 2)
                client().isUsable shouldBe true
            }
        }
    })
