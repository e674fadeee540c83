package org.bilberryhead.core.serving

import java.util.PriorityQueue
import kotlin.time.Instant

/** Does actions in the order of their times, without waiting. */
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

/** Endpoints of one pool that work on one call at a time and have little memory. */
internal class PlayedEndpoints(count: Int, start: Instant) {
    class Endpoint(val entry: EndpointEntry, var busyUntil: Instant) {
        var held = 0L
    }

    val entries = List(count) { endpointEntry("endpoint-$it") }
    private val endpoints = entries.associate { it.id to Endpoint(it, start) }

    operator fun get(entry: EndpointEntry): Endpoint = endpoints.getValue(entry.id)
}

/** One coordinator of a pool: the decisions that are tested, with [endpoints] that are played. */
internal class PlayedCoordinator(
    private val timeline: Timeline,
    private val shape: PieceProcessingProfile,
    private val endpoints: PlayedEndpoints,
    private val resultBytes: Long,
    private val perSecond: Double,
    private val called: (List<StagePiece>, Instant) -> Unit = { _, _ -> },
    private val made: (StagePiece, ResultHandle, Instant) -> Unit,
) {
    private class Result(val endpoint: PlayedEndpoints.Endpoint, val bytes: Long)

    private val queue = PieceQueue()
    private val chooser = PieceEndpointChooser(shape)
    private val room = ResultMemory(shape.resultMemoryBytes, shape.resultRetention)
    private val results = mutableMapOf<ResultHandle, Result>()

    fun ask(pieces: List<StagePiece>, now: Instant) {
        queue.add(pieces, now)
        pump(now)
    }

    fun giveUp(handle: ResultHandle, now: Instant) {
        val result = results.remove(handle) ?: return
        result.endpoint.held -= result.bytes
        room.recordRelease(handle, now)
        pump(now)
    }

    private fun pump(now: Instant) {
        queue.takeUnservable(now, perSecond)
        while (queue.size > 0) {
            val needed = queue.firstResultBytes(now)
            val chosen = chooser.choose(endpoints.entries, null, now) {
                room.isUnused(it) || room.freeBytes(it, now) >= needed
            } ?: return
            val most = room.maximumBatchSize(shape, resultBytes)
            val batch = queue.takeBatch(now, most, room.freeBytes(chosen.id, now), chosen.dataCentre)
            if (batch.isEmpty()) return
            call(endpoints[chosen], batch, now)
        }
    }

    private fun call(endpoint: PlayedEndpoints.Endpoint, batch: List<StagePiece>, now: Instant) {
        chooser.begin(endpoint.entry.id)
        room.reserve(endpoint.entry.id, batch.sumOf { it.resultBytes })
        val turn = maxOf(now, endpoint.busyUntil)
        val time = shape.callOverhead + shape.timePerPiece * batch.size
        endpoint.busyUntil = turn + time
        timeline.schedule(turn) { begun ->
            called(batch, begun)
            val fitting = batch.filter { takeRoom(endpoint, it) }
            timeline.schedule(turn + time) { end -> answered(endpoint, batch, fitting, (end - now) / time, end) }
        }
    }

    private fun takeRoom(endpoint: PlayedEndpoints.Endpoint, piece: StagePiece): Boolean {
        val fits = endpoint.held + piece.resultBytes <= shape.resultMemoryBytes
        if (fits) endpoint.held += piece.resultBytes
        return fits
    }

    private fun answered(
        endpoint: PlayedEndpoints.Endpoint,
        batch: List<StagePiece>,
        fitting: List<StagePiece>,
        slowdown: Double,
        now: Instant,
    ) {
        val id = endpoint.entry.id
        chooser.end(id, failed = false, slowdown, now)
        room.endReservation(
            id,
            batch.sumOf { it.resultBytes },
            fitting.sumOf { it.resultBytes },
            isMemoryFull = fitting.size < batch.size,
        )
        for (piece in fitting) {
            val handle = ResultHandle("${piece.request}/${piece.stage}/${piece.index}")
            results[handle] = Result(endpoint, piece.resultBytes)
            room.add(handle, id, piece.resultBytes, now)
            made(piece, handle, now)
        }
        queue.add(batch - fitting.toSet(), now)
        pump(now)
    }
}
