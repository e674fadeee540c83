package org.bilberryhead.soak

import org.bilberryhead.core.testing.http.writeText
import org.bilberryhead.platform.wire.WireHeaders
import java.io.BufferedInputStream
import java.io.IOException
import java.io.InputStream
import java.net.Socket
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** One request of a caller on a connection to the entry at [port]. */
internal class PlannedRequest(
    val id: String,
    val kind: RequestKind,
    val method: String,
    val port: Int,
    val isFirstOnConnection: Boolean,
) {
    /** When the last byte was sent. */
    var sentAt: TimeMark = TimeSource.Monotonic.markNow()

    /** Age of the entry's SIGTERM when the request was sent, or null without one. */
    var sinceTerminationMs: Long? = null

    override fun toString(): String = "$id ($method $kind, entry $port, sent ${sinceTerminationMs ?: "-"} ms after " +
        "SIGTERM, ${sentAt.elapsedNow().inWholeMilliseconds} ms ago, first on connection: $isFirstOnConnection)"
}

/**
 * Callers that keep connections, idle on them, send bodies and HEAD requests and read slowly, and that expect a whole
 * response to every whole request.
 */
internal class PlannedCallers(
    private val seed: Int,
    private val work: PlannedWork,
    private val operator: OperatorChanges,
    private val checker: InvariantChecker,
    private val responseCheck: PlannedResponseCheck,
) {
    private val isStopped = AtomicBoolean()
    private val sentRequests = AtomicInteger()
    private val threads = mutableListOf<Thread>()

    /** Number of requests sent so far. */
    val sentCount: Int get() = sentRequests.get()

    /** Starts one thread per caller. */
    fun start() = repeat(CALLER_COUNT) { number ->
        val random = Random(seed * MAX_CALLERS_PER_SEED + number)
        val caller = thread(isDaemon = true, start = false) {
            while (!isStopped.get()) useConnection(number, random)
        }
        // A caller that ends early would leave its requests unchecked.
        caller.setUncaughtExceptionHandler { _, failure ->
            checker.recordViolation("caller $number ended early: $failure")
        }
        caller.start()
        threads += caller
    }

    /** Stops the callers and waits for the requests in flight. */
    fun stop() {
        isStopped.set(true)
        threads.forEach { it.join() }
    }

    private fun useConnection(number: Int, random: Random) {
        val port = work.portsInRotation().randomOrNull(random)
        val socket = try {
            port?.let { Socket("127.0.0.1", it) }
        } catch (_: IOException) {
            // The entry has just ended; nothing was sent.
            null
        }
        if (socket == null || port == null) return Thread.sleep(MAX_DELAY_MS)
        socket.use {
            it.soTimeout = READ_TIMEOUT_MS
            val input = BufferedInputStream(it.getInputStream())
            var isFirst = true
            while (!isStopped.get() && random.nextInt(CONNECTION_CLOSE_ODDS) > 0) {
                val kind = RequestKind.entries.random(random)
                val method = methodOf(kind, random)
                val id = "s$seed-c$number-${sentRequests.incrementAndGet()}"
                if (!send(it, input, PlannedRequest(id, kind, method, port, isFirst), random)) return
                isFirst = false
                idle(random)
                responseCheck.checkNothingFollows(id, port, input)
            }
        }
    }

    private fun methodOf(kind: RequestKind, random: Random): String = when (random.nextInt(METHOD_ODDS)) {
        0 -> if (kind.isStream) "GET" else "HEAD"
        1 -> "POST"
        else -> "GET"
    }

    private fun idle(random: Random) {
        val isLong = random.nextInt(LONG_IDLE_ODDS) == 0
        val longestMs = if (isLong) (operator.idleTimeoutMs * IDLE_FRACTION).toLong() else MAX_DELAY_MS
        Thread.sleep(random.nextLong(longestMs))
    }

    /** Sends one request and checks its response; returns whether the connection can be reused. */
    private fun send(socket: Socket, input: InputStream, request: PlannedRequest, random: Random): Boolean {
        checker.recordSent(request.kind, request.id)
        request.sinceTerminationMs = work.sinceTermination(request.port)?.inWholeMilliseconds
        val isSentWhole = try {
            socket.getOutputStream().writeText(requestText(request, random))
            true
        } catch (_: IOException) {
            // The response, if any, tells more.
            false
        }
        request.sentAt = TimeSource.Monotonic.markNow()
        val waits = if (random.nextInt(SLOW_READER_ODDS) == 0) random else null
        val response = ResponseReader(input, waits).read(request.method == "HEAD")
        checker.recordOutcome(request.kind, request.id, response.status)
        responseCheck.check(request, response, isSentWhole)
        return response.isWhole && response.header("Connection")?.lowercase() != "close"
    }

    private fun requestText(request: PlannedRequest, random: Random): String {
        val (bodyHeaders, body) = if (request.method == "POST") drawBody(random) else "" to ""
        val streamHeaders = if (request.kind.isStream) streamHeaders(request.id, random) else ""
        return "${request.method} ${request.kind.path} HTTP/1.1\r\nHost: ${OperatorChanges.HOST}\r\n" +
            "${WireHeaders.REQUEST_ID}: ${request.id}\r\n${WireHeaders.API_KEY}: ${OperatorChanges.API_KEY}\r\n" +
            "${WireHeaders.DEADLINE_MS}: $DEADLINE_MS\r\n$streamHeaders$bodyHeaders\r\n$body"
    }

    private fun streamHeaders(id: String, random: Random): String {
        val ownPart = id.hashCode().toUInt().toString(radix = 16)
        return "${WireHeaders.TOKEN_COUNTS}: 10,10\r\n${WireHeaders.PROMPT_PARTS}: a:5,$ownPart:5\r\n" +
            "${WireHeaders.PIECE_COUNTS}: ${random.nextInt(1, MAX_PIECES)}\r\n${WireHeaders.PIECE_KEY}: key\r\n"
    }

    private fun drawBody(random: Random): Pair<String, String> {
        val isLarge = random.nextInt(LARGE_BODY_ODDS) == 0
        val body = "b".repeat(random.nextInt(if (isLarge) MAX_LARGE_BODY_BYTES else MAX_SMALL_BODY_BYTES))
        if (random.nextBoolean()) return "Content-Length: ${body.length}\r\n" to body
        val chunks = body.chunked(CHUNK_BYTES).joinToString("") { "${it.length.toString(radix = 16)}\r\n$it\r\n" }
        return "Transfer-Encoding: chunked\r\n" to "${chunks}0\r\n\r\n"
    }

    private companion object {
        const val CALLER_COUNT = 32
        const val READ_TIMEOUT_MS = 14_000
        const val DEADLINE_MS = 10_000
        const val MAX_DELAY_MS = 60L
        const val CONNECTION_CLOSE_ODDS = 12

        /** Largest part of the idle timeout for which users leave a connection idle. */
        const val IDLE_FRACTION = 0.8
        const val METHOD_ODDS = 5
        const val LONG_IDLE_ODDS = 15
        const val SLOW_READER_ODDS = 8
        const val LARGE_BODY_ODDS = 15
        const val MAX_LARGE_BODY_BYTES = 600_000
        const val MAX_SMALL_BODY_BYTES = 5_000
        const val CHUNK_BYTES = 7_000
        const val MAX_PIECES = 4
        const val MAX_CALLERS_PER_SEED = 1_000
    }
}
