package org.bilberryhead.forwarding.peer

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.EmptyHttpHeaders
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.serving.ResultHandle
import org.bilberryhead.core.serving.StagePiece
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.caller.CallerAnswer
import org.bilberryhead.forwarding.caller.CallerGone
import org.bilberryhead.forwarding.caller.CallerRequest
import org.bilberryhead.forwarding.caller.RequestHandler
import org.bilberryhead.forwarding.http.AnswerHead
import org.bilberryhead.forwarding.http.WholeAnswer
import org.bilberryhead.forwarding.stage.PieceCallOutcome
import org.bilberryhead.forwarding.stage.StageScheduler

/** Serves the other entries: the configuration, and the pieces of pools that this entry coordinates. */
internal class PeerHandler(
    private val thread: EventThread,
    private val runner: (PoolName) -> StageScheduler?,
    private val snapshot: () -> SnapshotMessage,
    private val isDraining: () -> Boolean,
) : RequestHandler {
    override fun serve(request: CallerRequest, answer: CallerAnswer): CallerGone {
        when (request.path) {
            PeerPaths.ALIVE -> answer.whole(plain(OK))
            PeerPaths.SNAPSHOT -> answer.whole(message(PeerCodec.encode(SnapshotMessage.serializer(), snapshot())))
            PeerPaths.RELEASE -> release(request, answer)
            // What is asked for already is still made; who asks now finds the next coordinator.
            PeerPaths.PIECES -> if (isDraining()) answer.whole(plain(LEAVING)) else return makePieces(request, answer)
            else -> answer.whole(plain(NOT_FOUND))
        }
        return CallerGone { }
    }

    private fun release(request: CallerRequest, answer: CallerAnswer) {
        val message = PeerCodec.decode(ReleaseMessage.serializer(), request.body)
        message?.let { runner(it.pool)?.release(it.handles.map(::ResultHandle)) }
        answer.whole(plain(if (message == null) BAD_REQUEST else OK))
    }

    private fun makePieces(request: CallerRequest, answer: CallerAnswer): CallerGone {
        val message = PeerCodec.decode(PiecesMessage.serializer(), request.body)
        val stageRunner = message?.let { runner(it.pool) }
        if (message == null || stageRunner == null || message.pieces.isEmpty()) {
            answer.whole(plain(if (message == null) BAD_REQUEST else NOT_FOUND))
            return CallerGone { }
        }
        answer.begin(AnswerHead(OK, cborHeaders()))
        answer.part(ByteArray(0))
        val pieces = message.pieces.map { it.toPiece(thread.now()) }
        val ends = mutableListOf<PieceEndMessage>()
        stageRunner.submit(pieces) { piece, end -> take(piece, end, ends, pieces.size, answer) }
        return CallerGone { stageRunner.cancel(pieces.first().request) }
    }

    private fun take(
        piece: StagePiece,
        end: PieceCallOutcome,
        ends: MutableList<PieceEndMessage>,
        count: Int,
        answer: CallerAnswer,
    ) {
        ends += PieceEndMessage.of(piece, end)
        if (ends.size < count) return
        answer.part(PeerCodec.encode(PieceEndsMessage.serializer(), PieceEndsMessage(ends)))
        answer.finish()
    }

    private fun plain(status: Int) = WholeAnswer(AnswerHead(status, EmptyHttpHeaders.INSTANCE), ByteArray(0))

    private fun message(body: ByteArray) = WholeAnswer(AnswerHead(OK, cborHeaders()), body)

    private fun cborHeaders() = DefaultHttpHeaders().add("Content-Type", "application/cbor")

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val LEAVING = 503
    }
}
