package org.bilberryhead.forwarding

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.testing.http.RawMessage
import org.bilberryhead.core.testing.http.readMessage
import org.bilberryhead.core.testing.http.writeText
import java.io.IOException
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private const val LARGE_BODY_BYTES = 300_000

/** How a caller sends its requests. */
private enum class Sending { WHOLE, HALF_HEAD, HALF_BODY, TWO_AT_ONCE }

/** What an endpoint does with a request, by the path of the request. */
private enum class Work(val path: String) {
    QUICK("/order/quick"),
    SLOW("/order/slow"),
    LARGE("/order/large"),
    STREAM("/stream/a"),
}

/** One caller: it sends requests in one way until it can no longer connect, and pauses within each and after each. */
private class CallerCase(val work: Work, val sending: Sending, val pause: Duration)

/**
 * A request, the time when its last byte was sent, what the response to it says, and the time to this outcome. The body
 * of the response is not kept: those of all requests do not fit into the memory of the test.
 */
private class Outcome(
    val case: CallerCase,
    val id: String,
    val sentAt: TimeSource.Monotonic.ValueTimeMark,
    response: RawMessage?,
) {
    val elapsed: Duration = sentAt.elapsedNow()
    val isComplete: Boolean = response != null && !response.isTruncated
    val status: Int? = response?.status
    val isSigned: Boolean = response?.header("X-Response-Stamp") == "s"
    val hasOwnBody: Boolean = response != null && "answer $id" in response.body
    private val statusLine: String? = response?.head?.lines()?.first()

    override fun toString() = "$id ${case.work} ${case.sending} ${case.pause}: $statusLine, $elapsed"
}

private class Caller(private val case: CallerCase, private val port: Int, private val nextNumber: () -> Int) {
    val outcomes = mutableListOf<Outcome>()

    fun run(isEntryAlive: () -> Boolean) {
        while (isEntryAlive()) {
            try {
                Socket(HOST, port).use(::sendOn)
            } catch (_: IOException) {
                // The entry has closed its port.
                TimeUnit.MILLISECONDS.sleep(20)
            }
        }
    }

    private fun sendOn(socket: Socket) {
        socket.soTimeout = 10_000
        while (exchange(socket)) TimeUnit.MILLISECONDS.sleep(case.pause.inWholeMilliseconds)
    }

    /** Sends one request, or two at once, and reads the responses; returns whether the connection can be used again. */
    private fun exchange(socket: Socket): Boolean {
        val ids = List(if (case.sending == Sending.TWO_AT_ONCE) 2 else 1) { "r${nextNumber()}" }
        val sentAt = send(socket, ids.joinToString("", transform = ::textOf)) ?: return false
        var isOpen = true
        for (id in ids) {
            val response = if (isOpen) read(socket) else null
            outcomes += Outcome(case, id, sentAt, response)
            isOpen = response != null && response.header("Connection") != "close"
        }
        return isOpen
    }

    private fun textOf(id: String) = "POST ${case.work.path} HTTP/1.1\r\nHost: h\r\nX-Api-Key: k\r\n" +
        "X-Request-Id: $id\r\nContent-Length: 6\r\n\r\nabcdef"

    /** Sends [text]; returns when its last byte was sent, or null when the connection ended before. */
    private fun send(socket: Socket, text: String): TimeSource.Monotonic.ValueTimeMark? = try {
        val split = when (case.sending) {
            Sending.WHOLE, Sending.TWO_AT_ONCE -> text.length
            Sending.HALF_HEAD -> text.length / 2
            Sending.HALF_BODY -> text.length - 3
        }
        socket.getOutputStream().writeText(text.take(split))
        if (split < text.length) {
            TimeUnit.MILLISECONDS.sleep(case.pause.inWholeMilliseconds)
            socket.getOutputStream().writeText(text.drop(split))
        }
        TimeSource.Monotonic.markNow()
    } catch (_: IOException) {
        // A request that could not be sent whole is none.
        null
    }

    private fun read(socket: Socket): RawMessage? = try {
        socket.getInputStream().readMessage()
    } catch (_: IOException) {
        // The connection was reset before the response.
        null
    }
}

/** Callers of every case, an endpoint and the program as a process. */
private class EndOfProcess : AutoCloseable {
    private val endpoint = ScriptedEndpoint { serve() }
    private val store = LoopbackStore(LoopbackDeployment.CONFIGURATION, mapOf("p" to listOf(endpoint)))
    private val settings = settingsOfProcess(store.address).copy(
        drainLimit = DRAIN_LIMIT,
        retrySlack = 50.0,
        decisionLinesPerSecond = 100_000,
    )
    private val entry = EntryProcess(settings)
    val outcomes = ConcurrentLinkedQueue<Outcome>()

    /** The ids of the requests that the endpoint received; known when the process is gone. */
    val passedOn: Set<String> by lazy { endpoint.requests.mapNotNullTo(mutableSetOf()) { it.header("X-Request-Id") } }

    /** The ids of the requests that the entry has read whole, by its log; known when the process is gone. */
    val read: Set<String> by lazy {
        entry.useOutputLines { lines ->
            lines.flatMap { REQUEST_FIELD.findAll(it) }.mapTo(mutableSetOf()) { it.groupValues[1] }
        }
    }

    private fun ScriptedEndpoint.Exchange.serve() {
        when {
            Work.SLOW.path in request.head -> {
                TimeUnit.MILLISECONDS.sleep(700)
                respond(body = "answer $id")
            }

            Work.LARGE.path in request.head -> respond(body = "answer $id".padEnd(LARGE_BODY_BYTES, 'a'))
            Work.STREAM.path in request.head -> {
                startStream()
                repeat(3) {
                    sendChunk("id: $it\ndata: answer $id\n\n")
                    TimeUnit.MILLISECONDS.sleep(150)
                }
                endStream()
            }

            else -> respond(body = "answer $id")
        }
    }

    /** Lets callers of every case send until the process, to which [signal] is sent meanwhile, is gone. */
    fun play(signal: String) {
        entry.awaitReady()
        val number = AtomicInteger()
        val cases = Work.entries.flatMap { work ->
            Sending.entries.flatMap { sending -> PAUSES.map { CallerCase(work, sending, it) } }
        }
        val callers = cases.map { Caller(it, settings.callers.port, number::incrementAndGet) }
        val threads = callers.map { thread { it.run(entry::isAlive) } }
        TimeUnit.MILLISECONDS.sleep(1_500)
        entry.signal(signal)
        val hasEnded = entry.awaitExit(DRAIN_LIMIT.inWholeSeconds + 2)
        threads.forEach { it.join() }
        hasEnded shouldBe true
        callers.forEach { outcomes += it.outcomes }
        println(
            "SIG$signal: ${outcomes.size} requests, ${passedOn.size} passed on, ${outcomes.count {
                !it.isComplete
            }} cut",
        )
    }

    fun checkTruth() {
        withClue("complete answers to requests that were passed on are those of the endpoint, or say nothing") {
            outcomes.filter { it.id in passedOn && it.isComplete }.filterNot(::isTrue).shouldBeEmpty()
        }
        withClue("requests that were not passed on are refused, or their connection ends") {
            outcomes.filter { it.id !in passedOn && it.isComplete && it.status != NOT_RUN }.shouldBeEmpty()
        }
        outcomes.filter { it.isComplete }.shouldNotBeEmpty()
    }

    /** Checks that the log names each request that was read, so that one that it does not name was not read. */
    fun checkLog() {
        withClue("the log names every request that was answered") {
            outcomes.filter { it.isComplete && it.case.sending in WHOLE_SENDINGS && it.id !in read }.shouldBeEmpty()
        }
    }

    /** Checks that requests which were sent together are answered together. */
    fun checkPairs() {
        withClue("no request ends without an answer after the answer to one that was sent together with it") {
            outcomes.filter { it.case.sending == Sending.TWO_AT_ONCE }
                .zipWithNext()
                .filter { (first, second) -> first.sentAt == second.sentAt && first.isComplete && !second.isComplete }
                .shouldBeEmpty()
        }
    }

    private fun isTrue(outcome: Outcome): Boolean = when (outcome.status) {
        OK -> outcome.isSigned && outcome.hasOwnBody
        else -> outcome.status == UNKNOWN
    }

    override fun close() {
        entry.close()
        store.close()
        endpoint.close()
    }

    private companion object {
        const val OK = 200
        const val UNKNOWN = 502
        const val NOT_RUN = 503
        val DRAIN_LIMIT = 8.seconds
        val WHOLE_SENDINGS = setOf(Sending.WHOLE, Sending.TWO_AT_ONCE)
        val REQUEST_FIELD = """"request":"(r\d+)"""".toRegex()
        val PAUSES = listOf(0.milliseconds, 130.milliseconds, 900.milliseconds)
    }
}

/** Longest time for which a request that crosses the end of its connection may stay unread. */
private val LONGEST_UNREAD_TIME = 2.seconds

class EndOfProcessTest :
    DescribeSpec({
        describe("a process that ends while callers of every kind go on sending") {
            it("loses nothing that it has read when it is ended by SIGTERM") {
                EndOfProcess().use { end ->
                    end.play("TERM")
                    end.checkTruth()
                    end.checkPairs()
                    withClue("every request that was passed on has its whole answer") {
                        end.outcomes.filter { it.id in end.passedOn && (!it.isComplete || it.status != 200) }
                            .shouldBeEmpty()
                    }
                    end.checkLog()
                    withClue("every request that was read has an answer or a refusal") {
                        end.outcomes.filter { it.id in end.read && !it.isComplete }.shouldBeEmpty()
                    }
                    withClue("a request that was not read crosses the end of its connection") {
                        end.outcomes.filter { !it.isComplete && it.elapsed > LONGEST_UNREAD_TIME }.shouldBeEmpty()
                    }
                }
            }

            it("tells nothing false when it is ended by SIGKILL") {
                EndOfProcess().use { end ->
                    end.play("KILL")
                    end.checkTruth()
                }
            }
        }
    })
