package org.bilberryhead.forwarding.peer

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.EmptyHttpHeaders
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.serving.ResultHandle
import org.bilberryhead.core.serving.StagePiece
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.caller.CallerListener
import org.bilberryhead.forwarding.caller.CallerRequest
import org.bilberryhead.forwarding.caller.RequestHandler
import org.bilberryhead.forwarding.caller.ResponseWriter
import org.bilberryhead.forwarding.http.FullResponse
import org.bilberryhead.forwarding.http.ResponseHead
import org.bilberryhead.forwarding.stage.PieceCallOutcome
import org.bilberryhead.forwarding.stage.StageScheduler

/** Serves other entries: snapshots of the store's data, and pieces of the pools that this entry coordinates. */
internal class PeerHandler(
    private val thread: EventThread,
    private val schedulerOf: (PoolName) -> StageScheduler?,
    private val snapshot: () -> SnapshotMessage,
    private val isDraining: () -> Boolean,
) : RequestHandler {
    override fun serve(request: CallerRequest, response: ResponseWriter): CallerListener {
        when (request.path) {
            PeerPaths.ALIVE -> response.send(empty(OK))
            PeerPaths.SNAPSHOT -> response.send(cbor(PeerCodec.encode(SnapshotMessage.serializer(), snapshot())))
            PeerPaths.RELEASE -> release(request, response)
            // Pieces that were accepted before draining are still produced; new ones go to the next coordinator.
            PeerPaths.PIECES -> if (isDraining()) response.send(empty(DRAINING)) else return produce(request, response)
            else -> response.send(empty(NOT_FOUND))
        }
        return CallerListener { }
    }

    private fun release(request: CallerRequest, response: ResponseWriter) {
        val message = PeerCodec.decode(ReleaseMessage.serializer(), request.body.toByteArray())
        message?.let { schedulerOf(it.pool)?.release(it.handles.map(::ResultHandle)) }
        response.send(empty(if (message == null) BAD_REQUEST else OK))
    }

    private fun produce(request: CallerRequest, response: ResponseWriter): CallerListener {
        val message = PeerCodec.decode(PiecesMessage.serializer(), request.body.toByteArray())
        val stageScheduler = message?.let { schedulerOf(it.pool) }
        if (message == null || stageScheduler == null || message.pieces.isEmpty()) {
            response.send(empty(if (message == null) BAD_REQUEST else NOT_FOUND))
            return CallerListener { }
        }
        response.start(ResponseHead(OK, cborHeaders()))
        // Flushes the response head, which informs the sender that the pieces are accepted.
        response.write(ByteArray(0))
        val pieces = message.pieces.map { it.toPiece(thread.now()) }
        val outcomes = mutableListOf<PieceOutcomeMessage>()
        stageScheduler.submit(pieces) { piece, outcome -> collect(piece, outcome, outcomes, pieces.size, response) }
        // The request may have other pieces here, of another submission or sent by another entry.
        return CallerListener { stageScheduler.cancel(pieces.toSet()) }
    }

    private fun collect(
        piece: StagePiece,
        outcome: PieceCallOutcome,
        outcomes: MutableList<PieceOutcomeMessage>,
        count: Int,
        response: ResponseWriter,
    ) {
        outcomes += PieceOutcomeMessage.of(piece, outcome)
        if (outcomes.size < count) return
        response.write(PeerCodec.encode(PieceOutcomesMessage.serializer(), PieceOutcomesMessage(outcomes)))
        response.finish()
    }

    private fun empty(status: Int) = FullResponse(ResponseHead(status, EmptyHttpHeaders.INSTANCE), ByteArray(0))

    private fun cbor(body: ByteArray) = FullResponse(ResponseHead(OK, cborHeaders()), body)

    private fun cborHeaders() = DefaultHttpHeaders().add("Content-Type", "application/cbor")

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val DRAINING = 503
    }
}
