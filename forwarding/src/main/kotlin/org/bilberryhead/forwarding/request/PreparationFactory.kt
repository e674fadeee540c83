package org.bilberryhead.forwarding.request

import org.bilberryhead.core.serving.CallerTimeout
import org.bilberryhead.forwarding.stage.Preparation
import org.bilberryhead.forwarding.stage.PreparationListener
import org.bilberryhead.forwarding.stage.PreparationSpec
import org.bilberryhead.platform.wire.HeaderValues
import org.bilberryhead.platform.wire.WireHeaders

/** Creates the preparation of a request from its headers and its route. */
internal class PreparationFactory(private val context: ServingContext) {
    /** Returns the preparation of [request]; it does nothing until [Preparation.advance] is called. */
    fun create(request: AdmittedRequest, listener: PreparationListener): Preparation {
        val headers = request.callerRequest.headers
        val spec = PreparationSpec(
            request = request.id,
            stages = request.route.stages,
            pieceCounts = HeaderValues.pieceCounts(headers[WireHeaders.PIECE_COUNTS]).orEmpty(),
            pieceKey = headers[WireHeaders.PIECE_KEY],
            priority = request.priority,
            objectiveAt = request.callerRequest.receivedAt + request.route.objective,
            deadline = request.deadline,
            callerTimeoutAt =
            CallerTimeout.endsAt(request.route, request.callerRequest.receivedAt, lastEventAt = null),
            readerDataCentre = request.prompt?.let { prompt ->
                context.placement.preferredDataCentre(prompt, context.endpoints.usable(request.pool).map { it.entry })
            },
        )
        return Preparation(
            spec,
            context.stageClient,
            context.retryBudget,
            context.thread,
            context.endpoints::dataCentreOf,
            listener,
        )
    }
}
