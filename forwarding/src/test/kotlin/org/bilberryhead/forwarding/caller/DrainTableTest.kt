package org.bilberryhead.forwarding.caller

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.booleans.shouldBeFalse
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.bilberryhead.forwarding.caller.CallerConnectionHarness.Companion.bodyRequest

/** An event around the end of a process. The events of one [source] keep their order. */
private enum class DrainEvent(val source: Source) {
    FIRST_HALF(Source.CALLER),
    SECOND_HALF(Source.CALLER),
    NEXT_REQUEST(Source.CALLER),
    LAST_REQUEST(Source.CALLER),
    RESPONSE_BEGUN(Source.ENDPOINT),
    RESPONSE_COMPLETE(Source.ENDPOINT),
    NEXT_RESPONSE(Source.ENDPOINT),
    SIGTERM(Source.PROCESS),
    IDLE_CONNECTIONS_CLOSED(Source.PROCESS),
    LISTENER_STOPPED(Source.PROCESS),
    ;

    enum class Source { CALLER, ENDPOINT, PROCESS }
}

/** Returns every order of [sequences] in which each of them keeps its own order. */
private fun <T> interleavings(sequences: List<List<T>>): List<List<T>> {
    val remaining = sequences.filter { it.isNotEmpty() }
    if (remaining.isEmpty()) return listOf(emptyList())
    return remaining.flatMap { chosen ->
        interleavings(remaining.map { if (it === chosen) it.drop(1) else it }).map { listOf(chosen.first()) + it }
    }
}

/**
 * Plays one order of events. The entry passes on what it reads, and refuses it after [DrainEvent.LISTENER_STOPPED].
 *
 * @param untouchedTurn index of the event after which the scheduled tasks do not run before the next event
 */
private class DrainPlay(private val order: List<DrainEvent>, private val isStream: Boolean, untouchedTurn: Int) {
    private val passedOn = mutableListOf<ServedRequest>()
    private var hasStopped = false
    private var isReadInPartAtEnd = false
    private val harness: CallerConnectionHarness = CallerConnectionHarness { request ->
        if (hasStopped) request.respond(NOT_RUN) else passedOn += request
    }
    private val bodies = listOf("a", "b", "c").map { bodyRequest(it, 4, "body") }

    /** Whether the endpoint could do its part of this order. */
    var isPossible = true
        private set

    init {
        order.forEachIndexed { index, event ->
            if (isPossible) play(event)
            if (index != untouchedTurn) harness.runTasks()
        }
        harness.runTasks()
    }

    private fun play(event: DrainEvent) = when (event) {
        DrainEvent.FIRST_HALF -> harness.receive(bodies[0].dropLast(HALF), runsTasks = false)
        DrainEvent.SECOND_HALF -> harness.receive(bodies[0].takeLast(HALF), runsTasks = false)
        DrainEvent.NEXT_REQUEST -> harness.receive(bodies[1], runsTasks = false)
        DrainEvent.LAST_REQUEST -> harness.receive(bodies[2], runsTasks = false)
        DrainEvent.RESPONSE_BEGUN -> onOpen(index = 0) { if (isStream) it.start() }
        DrainEvent.RESPONSE_COMPLETE -> onOpen(index = 0) { if (isStream) it.finish() else it.respond() }
        DrainEvent.NEXT_RESPONSE -> onOpen(index = 1) { it.respond() }
        DrainEvent.SIGTERM -> harness.isDraining = true
        DrainEvent.IDLE_CONNECTIONS_CLOSED -> harness.connection.closeIfIdle()
        DrainEvent.LISTENER_STOPPED -> stop()
    }

    private fun onOpen(index: Int, respond: (ServedRequest) -> Unit) {
        val request = passedOn.getOrNull(index)?.takeIf { it.writer.isOpen }
        if (request == null) isPossible = false else respond(request)
    }

    private fun stop() {
        hasStopped = true
        isReadInPartAtEnd = harness.readText.length in 1 until bodies[0].length
        // What an endpoint has not answered by now may have run.
        passedOn.filter { it.writer.isOpen }.forEach { if (isCutByEnd()) it.writer.abort() else it.respond(UNKNOWN) }
        harness.connection.stopReading()
        harness.connection.closeIfIdle()
    }

    fun check() {
        val (responses, rejections) = harness.responses.partition { it.header("X-Request-Id") != null }
        val answered = responses.map { it.header("X-Request-Id") }
        withClue("every request that was read whole has one response, in order") {
            // A stream that the end of the process cuts can be followed by nothing.
            if (isCutByEnd()) answered shouldBe listOf("a") else answered shouldBe readRequests()
        }
        withClue("an answer of an endpoint is whole, unless the process ends during a stream") {
            responses.count { it.isTruncated } shouldBe if (isCutByEnd()) 1 else 0
        }
        responses.forEach { response ->
            val wasPassedOn = passedOn.any { it.id == response.header("X-Request-Id") }
            response.status shouldBeIn if (wasPassedOn) setOf(OK, UNKNOWN) else setOf(NOT_RUN)
        }
        withClue("a request that is read in part when the process ends is refused") {
            rejections.map { it.status } shouldBe if (isReadInPartAtEnd) listOf(NOT_RUN) else emptyList()
        }
        withClue("only the last response closes the connection") {
            harness.responses.dropLast(1).filter { it.header("Connection") == "close" }.shouldBeEmpty()
        }
        withClue("a connection that has ended is closed") { harness.isOpen.shouldBeFalse() }
        harness.channel.finishAndReleaseAll()
    }

    /** The requests whose last byte was read before a response announced the end of the connection. */
    private fun readRequests(): List<String> {
        val count = bodies.runningReduce { before, body -> before + body }
            .count { it.length <= harness.readText.length }
        return listOf("a", "b", "c").take(count)
    }

    private fun isCutByEnd(): Boolean {
        val stop = order.indexOf(DrainEvent.LISTENER_STOPPED)
        val isBegun = order.indexOf(DrainEvent.RESPONSE_BEGUN) in 0 until stop
        return isStream && isBegun && order.indexOf(DrainEvent.RESPONSE_COMPLETE) !in 0 until stop
    }

    private companion object {
        const val HALF = 30
        const val OK = 200
        const val UNKNOWN = 502
        const val NOT_RUN = 503
    }
}

class DrainTableTest :
    DescribeSpec({
        describe("a connection around the end of its process, in every order of events") {
            val eventsBySource = DrainEvent.entries.groupBy { it.source }.values.toList()
            val shorter = eventsBySource.map { events -> events.filterNot { it == DrainEvent.NEXT_RESPONSE } }
            val orders = interleavings(eventsBySource) + interleavings(shorter) +
                interleavings(shorter.map { events -> events.filterNot { it == DrainEvent.RESPONSE_COMPLETE } }) +
                interleavings(shorter.map { events -> events.filterNot { it.source == DrainEvent.Source.ENDPOINT } })
            for (isStream in listOf(false, true)) {
                it(
                    "answers what it has read truly, completely and in order, ${if (isStream) "streamed" else "whole"}",
                ) {
                    var possible = 0
                    for (order in orders) {
                        for (turn in -1 until order.size) {
                            val play = DrainPlay(order, isStream, turn)
                            if (!play.isPossible) continue
                            possible++
                            withClue("order $order, turn $turn") { play.check() }
                        }
                    }
                    println("$possible possible plays of ${orders.size} orders")
                    possible shouldBeGreaterThan 1_000
                }
            }
        }
    })
