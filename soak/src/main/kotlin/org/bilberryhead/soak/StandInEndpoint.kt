package org.bilberryhead.soak

import org.bilberryhead.core.testing.http.RawMessage
import org.bilberryhead.core.testing.http.readMessage
import org.bilberryhead.core.testing.http.writeText
import org.bilberryhead.platform.wire.WireHeaders
import org.bilberryhead.platform.wire.WirePaths
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * An endpoint that serves any pool and injects a fault into some of its calls: a refusal, a failure, a response that
 * breaks off in any framing at any place, surplus bytes, or a pause.
 *
 * @param isSound whether the endpoint, instead of injecting faults, only falls silent at any place of a response
 */
internal class StandInEndpoint(
    val id: String,
    private val checker: InvariantChecker,
    seed: Int,
    private val isSound: Boolean = false,
) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
    private val random = Random(seed)
    private val handleCount = AtomicInteger()

    /** Port that the endpoint listens on. */
    val port: Int get() = server.localPort

    /** Whether the endpoint injects faults. */
    @Volatile
    var injectsFaults = !isSound

    init {
        thread(isDaemon = true, name = "endpoint-$id") {
            while (!server.isClosed) {
                val socket = try {
                    server.accept()
                } catch (_: IOException) {
                    // The endpoint was closed.
                    return@thread
                }
                thread(isDaemon = true) { serve(socket) }
            }
        }
    }

    private fun serve(socket: Socket) = try {
        socket.use {
            var request = it.getInputStream().readMessage()
            while (request != null && respond(request, it)) request = it.getInputStream().readMessage()
        }
    } catch (_: IOException) {
        // The entry disconnected. The checker has already recorded the execution of its request.
    }

    /** Responds to one request; returns whether the connection stays open. */
    private fun respond(request: RawMessage, socket: Socket): Boolean {
        val path = request.head.split(' ')[1]
        return when {
            path == WirePaths.STAGE_RUN -> executePieces(request, socket)
            path == WirePaths.STAGE_FREE -> socket.write(completeResponse(request, "200 OK", "{}", signed = false))
            request.header(WireHeaders.EXPECTED_ENDPOINT) != id ->
                socket.write(completeResponse(request, "421 Misdirected", "", signed = false))

            else -> execute(request, socket, path)
        }
    }

    private fun executePieces(request: RawMessage, socket: Socket): Boolean {
        if (shouldFail()) return false
        Thread.sleep(random.nextLong(MAX_SERVICE_TIME_MS))
        val items = PIECE_ID.findAll(request.body).map { match ->
            """{"handle":"127.0.0.1:$port/${handleCount.incrementAndGet()}-${match.groupValues[1]}"}"""
        }
        return socket.write(
            completeResponse(request, "200 OK", """{"items":[${items.joinToString(",")}]}""", signed = false),
        )
    }

    private fun execute(request: RawMessage, socket: Socket, path: String): Boolean {
        val requestId = request.header(WireHeaders.REQUEST_ID).orEmpty()
        if (shouldFail()) {
            return socket.write(
                completeResponse(request, "503 Busy", "", signed = false, "${WireHeaders.NOT_EXECUTED}: 1\r\n"),
            )
        }
        checker.recordExecution(requestId)
        checkInputs(request, requestId)
        Thread.sleep(random.nextLong(MAX_SERVICE_TIME_MS))
        return if (path.startsWith("/stream") || path.startsWith("/resume")) {
            respondStream(request, socket, requestId)
        } else {
            respondPlain(request, socket, requestId)
        }
    }

    private fun respondPlain(request: RawMessage, socket: Socket, requestId: String): Boolean {
        val body = if (isSound) SoundBody.plain(requestId) else "answer to $requestId"
        val draw = ResponsePlan.Draw(signedHead(requestId), listOf(body), isStream = false)
        if (request.head.startsWith("HEAD ")) return send(draw.complete(random).headOnly(), socket)
        if (!shouldFail()) return send(draw.complete(random), socket)
        val response = completeResponse(request, "200 OK", "answer to $requestId", signed = true)
        return when (random.nextInt(RESPONSE_FAULT_KINDS)) {
            0 -> socket.write(completeResponse(request, "500 Failed", "failed", signed = true))
            1 -> socket.write(response + response)
            else -> send(draw.broken(random), socket)
        }
    }

    private fun respondStream(request: RawMessage, socket: Socket, requestId: String): Boolean {
        val lastEvent = request.header(WireHeaders.LAST_EVENT_ID)?.toInt() ?: 0
        val events = if (isSound) {
            SoundBody.events(requestId, lastEvent)
        } else {
            (lastEvent + 1..LAST_EVENT).map { "id: $it\ndata: $requestId\n\n" }
        }
        // A stream that is resumed after its last event has none left to send.
        if (events.isEmpty()) return false
        val draw = ResponsePlan.Draw(signedHead(requestId), events, isStream = true)
        return send(if (shouldFail()) draw.broken(random) else draw.complete(random), socket)
    }

    private fun signedHead(requestId: String) =
        "HTTP/1.1 200 OK\r\n${WireHeaders.REQUEST_ID}: $requestId\r\n${WireHeaders.SIGNATURE}: s\r\n"

    /** Sends what [plan] says, at times with a pause; returns whether the connection stays open. */
    private fun send(plan: ResponsePlan, socket: Socket): Boolean {
        if (isSound) return sendWithSilence(plan, socket)
        val pausesBefore = if (shouldFail()) random.nextInt(plan.pieces.size + 1) else null
        plan.pieces.forEachIndexed { index, piece ->
            if (index == pausesBefore) Thread.sleep(random.nextLong(MAX_PAUSE_MS))
            socket.write(piece)
        }
        if (plan.breakKind == BreakKind.RESET) socket.setSoLinger(true, 0)
        return !plan.endsConnection
    }

    /** Sends the whole response; every few responses a silence lies at a place that is drawn from all its bytes. */
    private fun sendWithSilence(plan: ResponsePlan, socket: Socket): Boolean {
        val silentPiece = if (random.nextInt(SILENCE_ODDS) == 0) random.nextInt(plan.pieces.size) else null
        plan.pieces.forEachIndexed { index, piece ->
            val place = if (index == silentPiece) random.nextInt(piece.length) else 0
            if (place > 0) socket.write(piece.take(place))
            if (index == silentPiece) Thread.sleep(random.nextLong(MAX_SILENCE_MS))
            socket.write(piece.drop(place))
        }
        return !plan.endsConnection
    }

    private fun checkInputs(request: RawMessage, requestId: String) {
        val inputs = request.header(WireHeaders.INPUTS) ?: return
        if (inputs.split(',').any { !it.endsWith("-$requestId") }) {
            checker.recordViolation("$requestId was sent stage results of another request: $inputs")
        }
    }

    private fun shouldFail(): Boolean = injectsFaults && random.nextDouble() < FAULT_PROBABILITY

    private fun completeResponse(
        request: RawMessage,
        status: String,
        body: String,
        signed: Boolean,
        extraHeaders: String = "",
    ): String {
        val requestId = request.header(WireHeaders.REQUEST_ID)?.let { "${WireHeaders.REQUEST_ID}: $it\r\n" }.orEmpty()
        val signature = if (signed) "${WireHeaders.SIGNATURE}: s\r\n" else ""
        return "HTTP/1.1 $status\r\n$requestId$signature${extraHeaders}Content-Length: ${body.length}\r\n\r\n$body"
    }

    private fun Socket.write(text: String): Boolean {
        getOutputStream().writeText(text)
        return true
    }

    override fun close() = server.close()

    /** Holds [LAST_EVENT], which [Callers] compares with the length of a complete stream. */
    companion object {
        /** Number of the last event of each stream. */
        const val LAST_EVENT = 8
        private const val BACKLOG = 200
        private const val MAX_SERVICE_TIME_MS = 40L
        private const val FAULT_PROBABILITY = 0.05
        private const val RESPONSE_FAULT_KINDS = 4

        /** Longest time for which a sound endpoint falls silent within a response. */
        private const val MAX_PAUSE_MS = 1_000L

        /** A sound endpoint falls silent in 1 of this number of responses. */
        private const val SILENCE_ODDS = 4
        private const val MAX_SILENCE_MS = 1_300L
        private val PIECE_ID = Regex(""""id":"([^"]+)"""")
    }
}
