package org.bilberryhead.core.pipeline

import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.execution.AttemptState
import org.bilberryhead.core.execution.RequestFingerprint
import org.bilberryhead.core.message.AttemptLocation
import org.bilberryhead.core.message.AttemptMessage
import org.bilberryhead.core.message.Cancel
import org.bilberryhead.core.message.Dispatch
import org.bilberryhead.core.message.Move
import org.bilberryhead.core.message.Query
import org.bilberryhead.core.tables.Route
import kotlin.time.Duration

/** Creates the messages that one request sends to sidecars about its attempts. */
internal class RequestMessages(private val request: AdmittedRequest, private val route: Route) {
    private val fingerprint = RequestFingerprint.of(route.kind, request.payload)

    /** Returns the message that starts stage [stageIndex] with [input] at [location], to finish within [remaining]. */
    fun dispatch(location: AttemptLocation, stageIndex: Int, input: Payload, remaining: Duration): Dispatch {
        val stage = route.stages[stageIndex]
        return Dispatch(
            attempt = location.attempt,
            incarnation = location.incarnation,
            request = request.id,
            kind = route.kind,
            stage = stage.name,
            clientAccount = request.clientAccount,
            remainingMillis = remaining.inWholeMilliseconds,
            idempotent = stage.idempotent,
            payload = input,
            streamed = route.streamed && stageIndex == route.stages.lastIndex,
            fingerprint = fingerprint,
        )
    }

    /** Returns the message that queries the state of [record] or, while it is being moved, requests its move again. */
    fun statusRequest(record: AttemptRecord): AttemptMessage {
        val location = record.location
        val target = record.moveTarget
        if (record.state == AttemptState.MOVING && target != null) return Move(location.attempt, target)
        return Query(
            attempt = location.attempt,
            incarnation = location.incarnation,
            resumeAt = record.frames.nextFrameNumber,
            request = request.id,
            clientAccount = request.clientAccount,
            fingerprint = fingerprint,
        )
    }

    /** Returns the message that cancels [record]; with [onlyIfWaiting], only if it is still queued at the sidecar. */
    fun cancel(record: AttemptRecord, onlyIfWaiting: Boolean = false): Cancel =
        Cancel(record.location.attempt, record.location.incarnation, request.id, onlyIfWaiting)
}
