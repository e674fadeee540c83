package org.bilberryhead.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.matchers.types.shouldBeSameInstanceAs
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.serving.EntryRecord
import org.bilberryhead.forwarding.http.Connector
import org.bilberryhead.forwarding.http.ExchangeOutcome
import org.bilberryhead.forwarding.peer.PeerClient
import org.bilberryhead.forwarding.peer.Peers
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
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

        describe("the cancellation of a call that has ended") {
            it("does not end the call that its connection carries by then") {
                val finishing = CountDownLatch(1)
                ScriptedEndpoint {
                    write("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n")
                    if ("/second" in request.head) finishing.await(10, TimeUnit.SECONDS)
                    write("answer")
                }.use { peer ->
                    val (host, port) = peer.address.split(':')
                    val address = SocketAddress(host, port.toInt())
                    val client = PeerClient(record("other").copy(peerAddress = address), thread, decisions, connector)
                    val outcomes = LinkedBlockingQueue<ExchangeOutcome>()

                    fun call(path: String) = thread.loop.submit(
                        Callable { client.call(path, ByteArray(0)) { outcomes += it } },
                    ).get()

                    val first = call("/first")
                    outcomes.poll(10, TimeUnit.SECONDS).shouldBeInstanceOf<ExchangeOutcome.Completed>()
                    call("/second")
                    generateSequence { peer.awaitRequest() }.first { "/second" in it.head }
                    thread.loop.submit { first.cancel() }.get()
                    finishing.countDown()
                    outcomes.poll(10, TimeUnit.SECONDS).shouldBeInstanceOf<ExchangeOutcome.Completed>()
                }
            }
        }
    })
