package org.bilberryhead.core.serving

import java.util.PriorityQueue
import kotlin.time.Instant

/** Runs scheduled actions in the order of their times, in simulated time. */
internal class Timeline {
    private class Event(val at: Instant, val order: Int, val action: (Instant) -> Unit)

    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.order }))
    private var count = 0

    fun schedule(at: Instant, action: (Instant) -> Unit) {
        events += Event(at, count++, action)
    }

    fun run() {
        while (events.isNotEmpty()) events.poll().let { it.action(it.at) }
    }
}

/** Simulated endpoints of one pool, which run one call at a time and have little memory for results. */
internal class SimulatedEndpoints(count: Int, start: Instant) {
    class Endpoint(val entry: EndpointEntry, var busyUntil: Instant) {
        var storedBytes = 0L
    }

    val entries = List(count) { endpointEntry("endpoint-$it") }
    private val endpoints = entries.associate { it.id to Endpoint(it, start) }

    operator fun get(entry: EndpointEntry): Endpoint = endpoints.getValue(entry.id)
}

/** One coordinator of a pool: the decision classes under test, with simulated [endpoints]. */
internal class SimulatedCoordinator(
    private val timeline: Timeline,
    private val profile: PieceProcessingProfile,
    private val endpoints: SimulatedEndpoints,
    private val resultBytes: Long,
    private val piecesPerSecond: Double,
    private val onStarted: (List<StagePiece>, Instant) -> Unit = { _, _ -> },
    private val onResult: (StagePiece, ResultHandle, Instant) -> Unit,
) {
    private class StoredResult(val endpoint: SimulatedEndpoints.Endpoint, val bytes: Long)

    private val queue = PieceQueue()
    private val chooser = PieceEndpointChooser(profile)
    private val memory = ResultMemory(profile.resultMemoryBytes, profile.resultRetention)
    private val results = mutableMapOf<ResultHandle, StoredResult>()

    fun enqueue(pieces: List<StagePiece>, now: Instant) {
        queue.add(pieces, now)
        sendCalls(now)
    }

    fun release(handle: ResultHandle, now: Instant) {
        val result = results.remove(handle) ?: return
        result.endpoint.storedBytes -= result.bytes
        memory.recordRelease(handle, now)
        sendCalls(now)
    }

    private fun sendCalls(now: Instant) {
        queue.takeUnservable(now, piecesPerSecond)
        while (queue.size > 0) {
            val needed = queue.firstResultBytes(now)
            val chosen = chooser.choose(endpoints.entries, null, now) {
                memory.isUnused(it) || memory.freeBytes(it, now) >= needed
            } ?: return
            val maximumPieces = memory.maximumBatchSize(profile, resultBytes)
            val batch = queue.takeBatch(now, maximumPieces, memory.freeBytes(chosen.id, now), chosen.dataCentre)
            if (batch.isEmpty()) return
            call(endpoints[chosen], batch, now)
        }
    }

    private fun call(endpoint: SimulatedEndpoints.Endpoint, batch: List<StagePiece>, now: Instant) {
        chooser.recordCallStart(endpoint.entry.id)
        memory.reserve(endpoint.entry.id, batch.sumOf { it.resultBytes })
        val startsAt = maxOf(now, endpoint.busyUntil)
        val callTime = profile.callOverhead + profile.timePerPiece * batch.size
        endpoint.busyUntil = startsAt + callTime
        timeline.schedule(startsAt) { startedAt ->
            onStarted(batch, startedAt)
            val fitting = batch.filter { reserveMemory(endpoint, it) }
            timeline.schedule(startsAt + callTime) { end ->
                completeCall(endpoint, batch, fitting, (end - now) / callTime, end)
            }
        }
    }

    private fun reserveMemory(endpoint: SimulatedEndpoints.Endpoint, piece: StagePiece): Boolean {
        val fits = endpoint.storedBytes + piece.resultBytes <= profile.resultMemoryBytes
        if (fits) endpoint.storedBytes += piece.resultBytes
        return fits
    }

    private fun completeCall(
        endpoint: SimulatedEndpoints.Endpoint,
        batch: List<StagePiece>,
        fitting: List<StagePiece>,
        slowdown: Double,
        now: Instant,
    ) {
        val id = endpoint.entry.id
        chooser.recordCallEnd(id, failed = false, slowdown, now)
        memory.endReservation(
            id,
            batch.sumOf { it.resultBytes },
            fitting.sumOf { it.resultBytes },
            isMemoryFull = fitting.size < batch.size,
        )
        for (piece in fitting) {
            val handle = ResultHandle("${piece.request}/${piece.stage}/${piece.index}")
            results[handle] = StoredResult(endpoint, piece.resultBytes)
            memory.add(handle, id, piece.resultBytes, now)
            onResult(piece, handle, now)
        }
        queue.add(batch - fitting.toSet(), now)
        sendCalls(now)
    }
}
