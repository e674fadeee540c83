package org.bilberryhead.forwarding.peer

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.EmptyHttpHeaders
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.serving.ResultHandle
import org.bilberryhead.core.serving.StagePiece
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.caller.ResponseWriter
import org.bilberryhead.forwarding.caller.CallerDisconnectListener
import org.bilberryhead.forwarding.caller.CallerRequest
import org.bilberryhead.forwarding.caller.RequestHandler
import org.bilberryhead.forwarding.http.ResponseHead
import org.bilberryhead.forwarding.http.FullResponse
import org.bilberryhead.forwarding.stage.PieceCallOutcome
import org.bilberryhead.forwarding.stage.StageScheduler

/** Serves the other entries: the configuration, and the pieces of pools that this entry coordinates. */
internal class PeerHandler(
    private val thread: EventThread,
    private val runner: (PoolName) -> StageScheduler?,
    private val snapshot: () -> SnapshotMessage,
    private val isDraining: () -> Boolean,
) : RequestHandler {
    override fun serve(request: CallerRequest, response: ResponseWriter): CallerDisconnectListener {
        when (request.path) {
            PeerPaths.ALIVE -> response.send(plain(OK))
            PeerPaths.SNAPSHOT -> response.send(message(PeerCodec.encode(SnapshotMessage.serializer(), snapshot())))
            PeerPaths.RELEASE -> release(request, response)
            // What is asked for already is still made; who asks now finds the next coordinator.
            PeerPaths.PIECES -> if (isDraining()) response.send(plain(LEAVING)) else return makePieces(request, response)
            else -> response.send(plain(NOT_FOUND))
        }
        return CallerDisconnectListener { }
    }

    private fun release(request: CallerRequest, response: ResponseWriter) {
        val message = PeerCodec.decode(ReleaseMessage.serializer(), request.body)
        message?.let { runner(it.pool)?.release(it.handles.map(::ResultHandle)) }
        response.send(plain(if (message == null) BAD_REQUEST else OK))
    }

    private fun makePieces(request: CallerRequest, response: ResponseWriter): CallerDisconnectListener {
        val message = PeerCodec.decode(PiecesMessage.serializer(), request.body)
        val stageRunner = message?.let { runner(it.pool) }
        if (message == null || stageRunner == null || message.pieces.isEmpty()) {
            response.send(plain(if (message == null) BAD_REQUEST else NOT_FOUND))
            return CallerDisconnectListener { }
        }
        response.begin(ResponseHead(OK, cborHeaders()))
        response.write(ByteArray(0))
        val pieces = message.pieces.map { it.toPiece(thread.now()) }
        val ends = mutableListOf<PieceOutcomeMessage>()
        stageRunner.submit(pieces) { piece, end -> take(piece, end, ends, pieces.size, response) }
        return CallerDisconnectListener { stageRunner.cancel(pieces.first().request) }
    }

    private fun take(
        piece: StagePiece,
        end: PieceCallOutcome,
        ends: MutableList<PieceOutcomeMessage>,
        count: Int,
        response: ResponseWriter,
    ) {
        ends += PieceOutcomeMessage.of(piece, end)
        if (ends.size < count) return
        response.write(PeerCodec.encode(PieceOutcomesMessage.serializer(), PieceOutcomesMessage(ends)))
        response.finish()
    }

    private fun plain(status: Int) = FullResponse(ResponseHead(status, EmptyHttpHeaders.INSTANCE), ByteArray(0))

    private fun message(body: ByteArray) = FullResponse(ResponseHead(OK, cborHeaders()), body)

    private fun cborHeaders() = DefaultHttpHeaders().add("Content-Type", "application/cbor")

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val LEAVING = 503
    }
}
