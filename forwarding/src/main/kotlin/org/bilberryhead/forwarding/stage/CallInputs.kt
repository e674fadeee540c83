package org.bilberryhead.forwarding.stage

import org.bilberryhead.core.serving.EarlyInputRelease
import org.bilberryhead.core.serving.ResultHandle
import org.bilberryhead.core.serving.StagePiece
import org.bilberryhead.forwarding.EventThread

/**
 * The inputs of one call that no other call will read. They are released while the call still runs, as soon as its
 * endpoint has had time to fetch them.
 *
 * @param handles the inputs that may be released
 * @param release releases results
 */
internal class CallInputs(
    private val handles: Set<ResultHandle>,
    private val thread: EventThread,
    private val release: (List<ResultHandle>) -> Unit,
) {
    private var hasCallEnded = false
    private var areInputsReleased = false

    /** Releases the inputs of the sent call after [EarlyInputRelease.FETCH_TIME] unless the call has ended by then. */
    fun callSent() {
        if (handles.isEmpty()) return
        thread.after(EarlyInputRelease.FETCH_TIME) {
            if (!hasCallEnded) {
                areInputsReleased = true
                release(handles.toList())
            }
        }
    }

    /** The call has ended: inputs that were not released early are left to their requests to release. */
    fun callEnded() {
        hasCallEnded = true
    }

    /** Returns whether the inputs of [piece] were released. */
    fun wereReleased(piece: StagePiece): Boolean =
        areInputsReleased && piece.inputs.isNotEmpty() && handles.containsAll(piece.inputs)
}
