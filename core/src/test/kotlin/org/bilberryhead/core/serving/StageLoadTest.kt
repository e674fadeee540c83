package org.bilberryhead.core.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import org.bilberryhead.core.common.EndpointId
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val start = Instant.fromEpochSeconds(1_000)

/** Names and arrival times of requests that form a Poisson process with [perSecond] requests a second. */
private fun arrivals(random: Random, perSecond: Double, length: Duration): List<Pair<String, Instant>> =
    generateSequence(start) { it + (-ln(1 - random.nextDouble()) / perSecond).seconds }
        .takeWhile { it < start + length }
        .mapIndexed { index, at -> "request-$index" to at }
        .toList()

/** Simulates requests with one stage on endpoints that run one call at a time and have little memory for results. */
private class OneStageLoad(coordinatorCount: Int, seed: Int) {
    private val random = Random(seed)
    private val timeline = Timeline()
    private val endpoints = SimulatedEndpoints(count = 4, start)
    private val coordinators = List(coordinatorCount) { coordinator() }
    private val remainingPieces = mutableMapOf<String, Int>()
    private val deadlines = mutableMapOf<String, Instant>()
    private var completedInTime = 0

    private fun coordinator(): SimulatedCoordinator {
        lateinit var own: SimulatedCoordinator
        own =
            SimulatedCoordinator(timeline, profile, endpoints, RESULT_BYTES, PIECES_PER_SECOND) { piece, handle, now ->
                timeline.schedule(now + READ_TIME) { own.release(handle, it) }
                recordResult(piece.request.value, now)
            }
        return own
    }

    /** Returns the share of the requests whose preparation was complete before the deadline. */
    fun run(perSecond: Double, length: Duration): Double {
        for ((name, at) in arrivals(random, perSecond, length)) {
            val coordinator = coordinators[random.nextInt(coordinators.size)]
            deadlines[name] = at + OBJECTIVE
            remainingPieces[name] = PIECES
            timeline.schedule(at) { now -> coordinator.enqueue(pieces(name, now), now) }
        }
        timeline.run()
        return completedInTime / deadlines.size.toDouble()
    }

    private fun pieces(name: String, now: Instant): List<StagePiece> {
        val latest = now + OBJECTIVE - 400.milliseconds
        return List(PIECES) { stagePiece(name, it, latest, latest + 2.seconds, resultBytes = RESULT_BYTES) }
    }

    private fun recordResult(name: String, now: Instant) {
        val remaining = remainingPieces.getValue(name) - 1
        remainingPieces[name] = remaining
        if (remaining == 0 && now <= deadlines.getValue(name)) completedInTime++
    }

    private companion object {
        const val PIECES = 4
        const val RESULT_BYTES = 60L
        const val PIECES_PER_SECOND = 200.0
        val OBJECTIVE = 1_200.milliseconds
        val READ_TIME = 400.milliseconds
        val profile =
            pieceProfile(
                batchSize = 30,
                resultMemoryBytes = 3_400.0,
                callOverhead = 240.milliseconds,
                timePerPiece = 7.milliseconds,
            )
    }
}

/** Simulates requests with two stages. The first has little memory for the results that the second reads. */
private class TwoStageLoad(seed: Int, private val release: EarlyInputRelease?) {
    private class Progress(val deadline: Instant) {
        val firstResults = mutableListOf<ResultHandle>()
        var completedPieces = 0
    }

    private val random = Random(seed)
    private val timeline = Timeline()
    private val requests = mutableMapOf<String, Progress>()
    private var completedInTime = 0
    private val firstStage = SimulatedCoordinator(
        timeline,
        pieceProfile(
            batchSize = 30,
            resultMemoryBytes = 3_400.0,
            callOverhead = 240.milliseconds,
            timePerPiece = 7.milliseconds,
        ),
        SimulatedEndpoints(count = 4, start),
        resultBytes = FIRST_BYTES,
        piecesPerSecond = 240.0,
        onResult = ::handleFirstResult,
    )
    private val lastStage = SimulatedCoordinator(
        timeline,
        pieceProfile(
            batchSize = 45,
            resultMemoryBytes = 10_000.0,
            callOverhead = 240.milliseconds,
            timePerPiece = 4.milliseconds,
        ),
        SimulatedEndpoints(count = 4, start),
        resultBytes = LAST_BYTES,
        piecesPerSecond = 380.0,
        onStarted = ::handleLastCall,
        onResult = ::handleLastResult,
    )

    /** Returns the share of the requests whose preparation was complete before the deadline. */
    fun run(perSecond: Double, length: Duration): Double {
        for ((name, at) in arrivals(random, perSecond, length)) {
            val progress = Progress(at + OBJECTIVE)
            requests[name] = progress
            val latest = progress.deadline - 1.seconds
            timeline.schedule(at) { now ->
                firstStage.enqueue(List(FIRST_PIECES) { stagePiece(name, it, latest, latest, FIRST_BYTES) }, now)
            }
        }
        timeline.run()
        return completedInTime / requests.size.toDouble()
    }

    private fun handleFirstResult(piece: StagePiece, handle: ResultHandle, now: Instant) {
        val progress = requests.getValue(piece.request.value)
        progress.firstResults += handle
        if (progress.firstResults.size < FIRST_PIECES) return
        val latest = progress.deadline - 400.milliseconds
        val pieces = List(LAST_PIECES) {
            stagePiece(piece.request.value, it, latest, latest + 2.seconds, LAST_BYTES, stage = 1)
                .copy(inputs = progress.firstResults, readers = LAST_PIECES)
        }
        lastStage.enqueue(pieces, now)
    }

    private fun handleLastCall(call: List<StagePiece>, now: Instant) {
        val reader = EndpointId("reader")
        val handles = release?.releasableInputs(call, reader, now).orEmpty()
        release?.recordCallEnd(reader, mayHaveQueued = false, now)
        timeline.schedule(now + EarlyInputRelease.FETCH_TIME) { at -> handles.forEach { firstStage.release(it, at) } }
    }

    private fun handleLastResult(piece: StagePiece, handle: ResultHandle, now: Instant) {
        timeline.schedule(now + 100.milliseconds) { lastStage.release(handle, it) }
        val progress = requests.getValue(piece.request.value)
        progress.completedPieces++
        if (progress.completedPieces < LAST_PIECES) return
        progress.firstResults.forEach { firstStage.release(it, now) }
        if (now <= progress.deadline) completedInTime++
    }

    private companion object {
        const val FIRST_PIECES = 4
        const val LAST_PIECES = 6
        const val FIRST_BYTES = 60L
        const val LAST_BYTES = 6L
        val OBJECTIVE = 2.seconds
    }
}

class StageLoadTest :
    DescribeSpec({
        describe("a burst on a pool with few endpoints and little memory for results") {
            it("is served in time when one coordinator collects the pieces of five entries") {
                for (seed in 1..5) {
                    OneStageLoad(coordinatorCount = 1, seed)
                        .run(perSecond = 45.0, length = 12.seconds) shouldBeGreaterThan 0.95
                }
            }

            it("is served in time more often than when five entries each send their own pieces") {
                for (seed in 1..5) {
                    val separate = OneStageLoad(coordinatorCount = 5, seed).run(perSecond = 45.0, length = 12.seconds)
                    val collected = OneStageLoad(coordinatorCount = 1, seed).run(perSecond = 45.0, length = 12.seconds)
                    collected - separate shouldBeGreaterThan 0.1
                }
            }
        }

        describe("a burst on a pool whose results the next stage reads") {
            it("is served in time more often when results are released once they are fetched") {
                for (seed in 1..5) {
                    val keptUntilEnd = TwoStageLoad(seed, release = null).run(perSecond = 62.0, length = 12.seconds)
                    val released = TwoStageLoad(seed, EarlyInputRelease()).run(perSecond = 62.0, length = 12.seconds)
                    released shouldBeGreaterThan 0.95
                    released - keptUntilEnd shouldBeGreaterThan 0.1
                }
            }
        }
    })
