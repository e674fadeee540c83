package org.bilberryhead.forwarding.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpHeaders
import org.bilberryhead.core.memory.BodyAdmission
import org.bilberryhead.core.memory.MemoryBudget
import org.bilberryhead.core.serving.CallerLimits
import org.bilberryhead.core.testing.http.RawMessage
import org.bilberryhead.core.testing.http.readMessage
import org.bilberryhead.forwarding.http.FullResponse
import org.bilberryhead.forwarding.http.ResponseHead
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** A request that a connection has handed on, with the writer of its response. */
internal class ServedRequest(val id: String, val writer: ResponseWriter) {
    var isDisconnected = false

    fun respond(status: Int = 200) = writer.send(FullResponse(head(status), "answer $id".encodeToByteArray()))

    fun start() {
        writer.start(head(status = 200))
        writer.write("answer ".encodeToByteArray())
    }

    fun finish() {
        writer.write(id.encodeToByteArray())
        writer.finish()
    }

    private fun head(status: Int) = ResponseHead(status, DefaultHttpHeaders().add("X-Request-Id", id))
}

/** One caller's connection without a socket: what the connection does not read stays in [unread]. */
internal class CallerConnectionHarness(
    bodies: BodyAdmission = BodyAdmission(MemoryBudget(1_000_000)),
    onServe: (ServedRequest) -> Unit = {},
) {
    private var now = Instant.fromEpochMilliseconds(0)
    private val sentBytes = ByteArrayOutputStream()
    private val unread = StringBuilder()

    /** What the connection has read before a response announced its end. */
    val readText = StringBuilder()
    val served = mutableListOf<ServedRequest>()
    val failures = mutableListOf<Throwable>()
    var limits = CallerLimits(headerBytes = 500, bodyBytes = 20, headerTimeout = 3.seconds, idleTimeout = 15.seconds)
    var isDraining = false

    private val state = object : CallerServerState {
        override fun now(): Instant = this@CallerConnectionHarness.now
        override val limits: CallerLimits get() = this@CallerConnectionHarness.limits
        override val isDraining: Boolean get() = this@CallerConnectionHarness.isDraining

        override fun recordFailure(failure: Throwable) {
            failures += failure
        }

        override fun runGuarded(block: () -> Unit): Boolean = runCatching(block).onFailure(::recordFailure).isSuccess

        override fun rejected(status: Int, reason: String) = Unit
    }
    val connection = CallerConnection(state, bodies) { request, writer ->
        val serving = ServedRequest(request.headers["X-Request-Id"].orEmpty(), writer)
        served += serving
        onServe(serving)
        CallerListener { serving.isDisconnected = true }
    }
    val channel = EmbeddedChannel().also { connection.addTo(it.pipeline()) }

    /** Whether the connection is open on this side. */
    val isOpen: Boolean get() = channel.isOpen

    /** All that the connection has sent. */
    val sentText: String
        get() {
            generateSequence { channel.readOutbound<ByteBuf>() }.forEach {
                it.readBytes(sentBytes, it.readableBytes())
                it.release()
            }
            return sentBytes.toString(Charsets.UTF_8)
        }

    /** The responses so far; the last one may be incomplete. */
    val responses: List<RawMessage>
        get() {
            val input = ByteArrayInputStream(sentText.encodeToByteArray())
            return generateSequence { input.readMessage() }.toList()
        }

    val statuses: List<Int?> get() = responses.map { it.status }

    /** Lets [text] arrive; the tasks that the connection schedules run only if [runsTasks]. */
    fun receive(text: String, runsTasks: Boolean = true) {
        unread.append(text)
        readOn()
        if (runsTasks) runTasks()
    }

    /** Runs the scheduled tasks, and reads what arrived while the connection did not read. */
    fun runTasks() {
        channel.runPendingTasks()
        readOn()
    }

    private fun readOn() {
        if (unread.isEmpty() || !channel.isOpen || !channel.config().isAutoRead) return
        if (responses.none { it.header("Connection") == "close" }) readText.append(unread)
        val bytes = Unpooled.wrappedBuffer(unread.toString().encodeToByteArray())
        unread.clear()
        channel.pipeline().fireChannelRead(bytes).fireChannelReadComplete()
    }

    /** Lets [duration] pass, and lets the connection check its timeouts. */
    fun advance(duration: Duration) {
        now += duration
        connection.checkTimeouts(now)
    }

    companion object {
        fun request(id: String, headers: String = "") =
            "GET /order/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: $id\r\n$headers\r\n"

        fun bodyRequest(id: String, length: Int, body: String) =
            "POST /order/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: $id\r\nContent-Length: $length\r\n\r\n$body"
    }
}
