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

/** Makes the messages that one request sends about its attempts. */
internal class RequestMessages(private val request: AdmittedRequest, private val route: Route) {
    private val fingerprint = RequestFingerprint.of(route.kind, request.payload)

    /** Returns the message that runs stage [stageIndex] on [input] as [location]'s attempt, within [remaining]. */
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

    /** Returns the message that asks for evidence about [record], or for the record of its move. */
    fun question(record: AttemptRecord): AttemptMessage {
        val location = record.location
        val target = record.moveTarget
        if (record.state == AttemptState.MOVING && target != null) return Move(location.attempt, target)
        return Query(
            attempt = location.attempt,
            incarnation = location.incarnation,
            resumeAt = record.frames.nextNumber,
            request = request.id,
            clientAccount = request.clientAccount,
            fingerprint = fingerprint,
        )
    }

    /** Returns the message that gives up [record], or only withdraws it while it waits. */
    fun cancel(record: AttemptRecord, onlyIfWaiting: Boolean = false): Cancel =
        Cancel(record.location.attempt, record.location.incarnation, request.id, onlyIfWaiting)
}
