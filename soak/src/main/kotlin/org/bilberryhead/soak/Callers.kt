package org.bilberryhead.soak

import org.bilberryhead.core.testing.http.RawMessage
import org.bilberryhead.core.testing.http.readMessage
import org.bilberryhead.core.testing.http.writeText
import org.bilberryhead.platform.wire.SampleDeployment
import org.bilberryhead.platform.wire.WireHeaders
import java.io.IOException
import java.net.Socket
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * Concurrent callers. Each sends requests one after another, several on one connection, and checks every response.
 *
 * @param seed seed of the random choices of all callers
 * @param ports ports of the entries that callers connect to
 */
internal class Callers(
    private val count: Int,
    private val seed: Int,
    private val ports: List<Int>,
    private val deployment: SampleDeployment,
    private val checker: InvariantChecker,
) {
    private val isStopped = AtomicBoolean()
    private val sentRequests = AtomicInteger()
    private val threads = mutableListOf<Thread>()

    /** Number of requests sent so far. */
    val sentCount: Int get() = sentRequests.get()

    /** Starts one thread per caller. */
    fun start() = repeat(count) { number ->
        val random = Random(seed * MAX_CALLERS_PER_SEED + number)
        threads += thread(isDaemon = true) { while (!isStopped.get()) useConnection(number, random) }
    }

    /** Stops the callers and waits for the requests in flight. */
    fun stop() {
        isStopped.set(true)
        threads.forEach { it.join(READ_TIMEOUT_MS * 2L) }
    }

    private fun useConnection(number: Int, random: Random) = try {
        Socket("127.0.0.1", ports.random(random)).use { socket ->
            socket.soTimeout = READ_TIMEOUT_MS
            var isReusable = true
            while (isReusable && !isStopped.get() && random.nextInt(CONNECTION_CLOSE_ODDS) > 0) {
                val id = "s$seed-c$number-${sentRequests.incrementAndGet()}"
                isReusable = sendRequest(socket, RequestKind.entries.random(random), id)
                Thread.sleep(random.nextLong(MAX_DELAY_MS))
            }
        }
    } catch (_: IOException) {
        // The entry is not listening, for example while it restarts. The caller connects again after the delay.
        Thread.sleep(MAX_DELAY_MS)
    }

    /** Sends one request and checks its response; returns whether the connection can be reused. */
    fun sendRequest(socket: Socket, kind: RequestKind, id: String): Boolean {
        checker.recordSent(kind, id)
        val response = try {
            socket.getOutputStream().writeText(requestText(kind, id))
            socket.getInputStream().readMessage()
        } catch (_: IOException) {
            // Without a response the caller knows nothing about the outcome, so no invariant applies.
            null
        }
        checker.recordOutcome(kind, id, response?.status)
        response?.let { checkResponse(kind, id, it) }
        return response != null && !response.isTruncated && response.header("Connection") != "close"
    }

    private fun requestText(kind: RequestKind, id: String): String {
        val headers = deployment.requestHeaders(kind.path).map { (name, value) -> "$name: $value\r\n" }.joinToString("")
        return "GET ${kind.path} HTTP/1.1\r\nHost: soak\r\n${WireHeaders.REQUEST_ID}: $id\r\n$headers\r\n"
    }

    private fun checkResponse(kind: RequestKind, id: String, response: RawMessage) {
        if (response.header(WireHeaders.REQUEST_ID) !=
            id
        ) {
            checker.recordViolation("$id got a response without its request ID: ${response.head}")
        }
        if (response.status != OK) return
        if (kind.isStream) checkStreamResponse(id, response) else checkPlainResponse(id, response)
    }

    private fun checkPlainResponse(id: String, response: RawMessage) {
        if (response.body !=
            "answer to $id"
        ) {
            checker.recordViolation("$id got a body that is incomplete or belongs to another request: ${response.body}")
        }
    }

    private fun checkStreamResponse(id: String, response: RawMessage) {
        val eventIds = EVENT_ID.findAll(response.body).map { it.groupValues[1].toInt() }.toList()
        if (eventIds !=
            List(eventIds.size) { it + 1 }
        ) {
            checker.recordViolation("$id got events out of order: $eventIds")
        }
        if (EVENT_DATA.findAll(response.body).any {
                it.groupValues[1] != id
            }
        ) {
            checker.recordViolation("$id got events of another request")
        }
        if (!response.isTruncated && eventIds.size != StandInEndpoint.LAST_EVENT) {
            checker.recordViolation("$id got a stream of ${eventIds.size} events that ends as if it were complete")
        }
    }

    private companion object {
        const val OK = 200
        const val READ_TIMEOUT_MS = 9_000
        const val MAX_DELAY_MS = 60L

        /** Before each request the caller closes the connection with a probability of 1 in this number. */
        const val CONNECTION_CLOSE_ODDS = 12

        /** Keeps the random sequences of different seeds apart. */
        const val MAX_CALLERS_PER_SEED = 1_000
        val EVENT_ID = Regex("""(?m)^id: (\d+)$""")
        val EVENT_DATA = Regex("""(?m)^data: (\S+)$""")
    }
}
