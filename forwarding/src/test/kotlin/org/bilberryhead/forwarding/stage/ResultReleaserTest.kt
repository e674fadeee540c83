package org.bilberryhead.forwarding.stage

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.memory.MemoryBudget
import org.bilberryhead.core.serving.EndpointEntry
import org.bilberryhead.core.serving.ResultHandle
import org.bilberryhead.forwarding.ScriptedEndpoint
import org.bilberryhead.forwarding.endpoint.Endpoint
import org.bilberryhead.forwarding.endpoint.EndpointConnections
import org.bilberryhead.forwarding.http.Connector
import org.bilberryhead.forwarding.newEventThread
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

private fun <T> Sequence<T>.takeUntil(isLast: (T) -> Boolean): List<T> = buildList {
    for (item in this@takeUntil) {
        add(item)
        if (isLast(item)) return@buildList
    }
}

class ResultReleaserTest :
    DescribeSpec({
        val thread = newEventThread()
        afterSpec { thread.loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS) }

        /** Releases result 1, which [status] answers, and then result 2; returns those that count as released. */
        fun releasedAfter(status: String): List<Int> = ScriptedEndpoint {
            respond(if ("/1" in request.body) status else "200 OK", headers = "")
        }.use { stage ->
            val (host, port) = stage.address.split(':')
            val address = SocketAddress(host, port.toInt())
            val connections =
                EndpointConnections(address, Connector(thread, "X-Request-Id"), thread, { 4 }, onAvailable = {})
            val entry =
                EndpointEntry(EndpointId("s-0"), PoolName("s"), address, DataCentre("x"), 1, isDraining = false, 1)
            val endpoint = Endpoint(entry, pool = null, connections)
            val releaser = ResultReleaser(thread, MemoryBudget(1_000_000), { endpoint }, { true })
            val released = LinkedBlockingQueue<Int>()

            fun release(number: Int) = thread.loop.submit {
                releaser.release(listOf(ResultHandle("${stage.address}/$number"))) { released += number }
            }.get()

            release(1)
            stage.awaitRequest()
            release(2)
            generateSequence { checkNotNull(released.poll(10, TimeUnit.SECONDS)) { "2 was not released" } }
                .takeUntil { it == 2 }
        }

        describe("results whose release an endpoint refuses or fails") {
            it("still count as held") {
                releasedAfter("503 Busy") shouldBe listOf(2)
                releasedAfter("500 Failed") shouldBe listOf(2)
            }
        }
    })
