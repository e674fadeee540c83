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

/** Callers that send one request after the other, several on a connection, and check each answer. */
internal class Callers(
    private val count: Int,
    private val seed: Int,
    private val ports: List<Int>,
    private val sample: SampleDeployment,
    private val judge: Judge,
) {
    private val isOver = AtomicBoolean()
    private val sent = AtomicInteger()
    private val threads = mutableListOf<Thread>()

    /** Requests sent so far. */
    val sentCount: Int get() = sent.get()

    /** Begins. */
    fun start() = repeat(count) { number ->
        val random = Random(seed * CALLERS_OF_A_SEED + number)
        threads += thread(isDaemon = true) { while (!isOver.get()) useConnection(number, random) }
    }

    /** Ends and waits for the requests under way. */
    fun stop() {
        isOver.set(true)
        threads.forEach { it.join(READ_TIMEOUT_MS * 2L) }
    }

    private fun useConnection(number: Int, random: Random) = try {
        Socket("127.0.0.1", ports.random(random)).use { socket ->
            socket.soTimeout = READ_TIMEOUT_MS
            var isOpen = true
            while (isOpen && !isOver.get() && random.nextInt(REQUESTS_ON_A_CONNECTION) > 0) {
                val id = "s$seed-c$number-${sent.incrementAndGet()}"
                isOpen = request(socket, RequestKind.entries.random(random), id)
                Thread.sleep(random.nextLong(LONGEST_PAUSE_MS))
            }
        }
    } catch (_: IOException) {
        // Nothing listens there for the moment.
        Thread.sleep(LONGEST_PAUSE_MS)
    }

    /** Sends one request; returns whether the connection can be used again. */
    fun request(socket: Socket, kind: RequestKind, id: String): Boolean {
        judge.sent(kind, id)
        val answer = try {
            socket.getOutputStream().writeText(text(kind, id))
            socket.getInputStream().readMessage()
        } catch (_: IOException) {
            // No answer: nothing is promised.
            null
        }
        judge.ended(kind, id, answer?.status)
        answer?.let { check(kind, id, it) }
        return answer != null && !answer.isTruncated && answer.header("Connection") != "close"
    }

    private fun text(kind: RequestKind, id: String): String {
        val headers = sample.requestHeaders(kind.path).map { (name, value) -> "$name: $value\r\n" }.joinToString("")
        return "GET ${kind.path} HTTP/1.1\r\nHost: soak\r\n${WireHeaders.REQUEST_ID}: $id\r\n$headers\r\n"
    }

    private fun check(kind: RequestKind, id: String, answer: RawMessage) {
        if (answer.header(WireHeaders.REQUEST_ID) !=
            id
        ) {
            judge.violated("$id got an answer without its id: ${answer.head}")
        }
        if (answer.status != OK) return
        if (kind.isStream) checkStream(id, answer) else checkPlain(id, answer)
    }

    private fun checkPlain(id: String, answer: RawMessage) {
        if (answer.body !=
            "answer to $id"
        ) {
            judge.violated("$id got a body that is not its own whole one: ${answer.body}")
        }
    }

    private fun checkStream(id: String, answer: RawMessage) {
        val numbers = NUMBER.findAll(answer.body).map { it.groupValues[1].toInt() }.toList()
        if (numbers != List(numbers.size) { it + 1 }) judge.violated("$id got events out of order: $numbers")
        if (DATA.findAll(answer.body).any {
                it.groupValues[1] != id
            }
        ) {
            judge.violated("$id got events of another request")
        }
        if (!answer.isTruncated && numbers.size != StandInEndpoint.LAST_EVENT) {
            judge.violated("$id got a stream that looks whole after ${numbers.size} events")
        }
    }

    private companion object {
        const val OK = 200
        const val READ_TIMEOUT_MS = 9_000
        const val LONGEST_PAUSE_MS = 60L
        const val REQUESTS_ON_A_CONNECTION = 12
        const val CALLERS_OF_A_SEED = 1_000
        val NUMBER = Regex("""(?m)^id: (\d+)$""")
        val DATA = Regex("""(?m)^data: (\S+)$""")
    }
}
