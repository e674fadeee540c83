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

/** An endpoint that serves any pool, and now and then fails in one of the ways that endpoints do. */
internal class StandInEndpoint(val id: String, private val judge: Judge, seed: Int) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
    private val random = Random(seed)
    private val made = AtomicInteger()

    /** Where it listens. */
    val port: Int get() = server.localPort

    /** Whether it fails at all. */
    @Volatile
    var mayFail = true

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
            while (request != null && answer(request, it)) request = it.getInputStream().readMessage()
        }
    } catch (_: IOException) {
        // The other side left; what it asked for has been counted.
    }

    /** Returns whether the connection goes on. */
    private fun answer(request: RawMessage, socket: Socket): Boolean {
        val path = request.head.split(' ')[1]
        return when {
            path == WirePaths.STAGE_RUN -> makePieces(request, socket)
            path == WirePaths.STAGE_FREE -> socket.write(whole(request, "200 OK", "{}", signed = false))
            request.header(WireHeaders.EXPECTED_ENDPOINT) != id ->
                socket.write(whole(request, "421 Misdirected", "", signed = false))

            else -> run(request, socket, path)
        }
    }

    private fun makePieces(request: RawMessage, socket: Socket): Boolean {
        if (fails()) return false
        Thread.sleep(random.nextLong(LONGEST_WORK_MS))
        val items = PIECE.findAll(request.body).map { match ->
            """{"handle":"127.0.0.1:$port/${made.incrementAndGet()}-${match.groupValues[1]}"}"""
        }
        return socket.write(whole(request, "200 OK", """{"items":[${items.joinToString(",")}]}""", signed = false))
    }

    private fun run(request: RawMessage, socket: Socket, path: String): Boolean {
        val requestId = request.header(WireHeaders.REQUEST_ID).orEmpty()
        if (fails()) {
            return socket.write(whole(request, "503 Busy", "", signed = false, "${WireHeaders.NOT_EXECUTED}: 1\r\n"))
        }
        judge.ran(requestId)
        checkInputs(request, requestId)
        Thread.sleep(random.nextLong(LONGEST_WORK_MS))
        return if (path.startsWith("/stream") || path.startsWith("/resume")) {
            stream(request, socket, requestId)
        } else {
            plain(request, socket, requestId)
        }
    }

    private fun plain(request: RawMessage, socket: Socket, requestId: String): Boolean {
        val answer = whole(request, "200 OK", "answer to $requestId", signed = true)
        if (!fails()) return socket.write(answer)
        return when (random.nextInt(WAYS_TO_FAIL)) {
            0 -> false
            1 -> socket.write(answer.dropLast(CUT_BYTES)) && false
            2 -> socket.write(whole(request, "500 Failed", "failed", signed = true))
            else -> socket.write(answer + answer)
        }
    }

    private fun stream(request: RawMessage, socket: Socket, requestId: String): Boolean {
        socket.write(
            "HTTP/1.1 200 OK\r\n${WireHeaders.REQUEST_ID}: $requestId\r\n${WireHeaders.SIGNATURE}: s\r\n" +
                "Transfer-Encoding: chunked\r\n\r\n",
        )
        val first = (request.header(WireHeaders.LAST_EVENT_ID)?.toInt() ?: 0) + 1
        val breaksAt = if (fails()) random.nextInt(first, LAST_EVENT + 1) else null
        for (number in first..LAST_EVENT) {
            val event = "id: $number\ndata: $requestId\n\n"
            if (number == breaksAt) return socket.write(chunk(event.dropLast(CUT_BYTES))) && false
            socket.write(chunk(event))
        }
        return socket.write("0\r\n\r\n")
    }

    private fun checkInputs(request: RawMessage, requestId: String) {
        val inputs = request.header(WireHeaders.INPUTS) ?: return
        if (inputs.split(',').any { !it.endsWith("-$requestId") }) {
            judge.violated("$requestId was given the results of another request: $inputs")
        }
    }

    private fun fails(): Boolean = mayFail && random.nextDouble() < FAULT_RATE

    private fun whole(request: RawMessage, status: String, body: String, signed: Boolean, more: String = ""): String {
        val requestId = request.header(WireHeaders.REQUEST_ID)?.let { "${WireHeaders.REQUEST_ID}: $it\r\n" }.orEmpty()
        val signature = if (signed) "${WireHeaders.SIGNATURE}: s\r\n" else ""
        return "HTTP/1.1 $status\r\n$requestId$signature${more}Content-Length: ${body.length}\r\n\r\n$body"
    }

    private fun chunk(text: String) = "${text.length.toString(HEXADECIMAL)}\r\n$text\r\n"

    private fun Socket.write(text: String): Boolean {
        getOutputStream().writeText(text)
        return true
    }

    override fun close() = server.close()

    /** What callers check too. */
    companion object {
        /** Number of the last event of each stream. */
        const val LAST_EVENT = 8
        private const val BACKLOG = 200
        private const val LONGEST_WORK_MS = 40L
        private const val FAULT_RATE = 0.05
        private const val WAYS_TO_FAIL = 4
        private const val CUT_BYTES = 4
        private const val HEXADECIMAL = 16
        private val PIECE = Regex(""""id":"([^"]+)"""")
    }
}
