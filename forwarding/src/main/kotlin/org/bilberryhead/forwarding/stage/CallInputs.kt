package org.bilberryhead.forwarding.stage

import org.bilberryhead.core.serving.EarlyInputRelease
import org.bilberryhead.core.serving.ResultHandle
import org.bilberryhead.core.serving.StagePiece
import org.bilberryhead.forwarding.EventThread

/** The inputs that one call reads for the last time; they are given up once its endpoint has fetched them. */
internal class CallInputs(
    private val handles: Set<ResultHandle>,
    private val thread: EventThread,
    private val giveUp: (List<ResultHandle>) -> Unit,
) {
    private var isOver = false
    private var areReleased = false

    /** The call was sent. */
    fun sent() {
        if (handles.isEmpty()) return
        thread.after(EarlyInputRelease.FETCH_TIME) {
            if (!isOver) {
                areReleased = true
                giveUp(handles.toList())
            }
        }
    }

    /** The call has ended: what was not given up by now is left to the requests. */
    fun ended() {
        isOver = true
    }

    /** Whether the inputs of [piece] were given up. */
    fun wereReleased(piece: StagePiece): Boolean =
        areReleased && piece.inputs.isNotEmpty() && handles.containsAll(piece.inputs)
}
