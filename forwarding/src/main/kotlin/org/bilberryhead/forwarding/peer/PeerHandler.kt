package org.bilberryhead.forwarding.peer

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.EmptyHttpHeaders
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.serving.CoordinatorDrain
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
    private val submissions = mutableSetOf<Submission>()

    /** Hands over or ends those pieces of other entries with which this entry does not go on in [drain]. */
    fun drain(drain: CoordinatorDrain) = submissions.toList().forEach { it.scheduler.drain(it.pieces.toSet(), drain) }

    override fun serve(request: CallerRequest, response: ResponseWriter): CallerListener {
        when (request.path) {
            PeerPaths.ALIVE -> response.send(empty(OK))
            PeerPaths.SNAPSHOT -> response.send(cbor(PeerCodec.encode(SnapshotMessage.serializer(), snapshot())))
            PeerPaths.RELEASE -> release(request, response)
            // New pieces go to the next coordinator, as do those that wait when the drain starts.
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
        val submission = Submission(pieces, stageScheduler, response)
        submissions += submission
        stageScheduler.submit(pieces, submission::collect)
        return CallerListener(submission::cancel)
    }

    /** Pieces that another entry sent in one message, and the response that takes their outcomes. */
    private inner class Submission(
        val pieces: List<StagePiece>,
        val scheduler: StageScheduler,
        private val response: ResponseWriter,
    ) {
        private val outcomes = mutableListOf<PieceOutcomeMessage>()

        fun collect(piece: StagePiece, outcome: PieceCallOutcome) {
            outcomes += PieceOutcomeMessage.of(piece, outcome)
            if (outcomes.size < pieces.size) return
            submissions -= this
            response.write(PeerCodec.encode(PieceOutcomesMessage.serializer(), PieceOutcomesMessage(outcomes)))
            response.finish()
        }

        fun cancel() {
            submissions -= this
            // The request may have other pieces here, of another submission or sent by another entry.
            scheduler.cancel(pieces.toSet())
        }
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
