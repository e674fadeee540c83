package org.bilberryhead.forwarding.request

import org.bilberryhead.core.serving.CallerWaitLimit
import org.bilberryhead.forwarding.stage.Preparation
import org.bilberryhead.forwarding.stage.PreparationListener
import org.bilberryhead.forwarding.stage.PreparationOrder
import org.bilberryhead.platform.wire.HeaderValues
import org.bilberryhead.platform.wire.WireHeaders

/** Makes the preparation of a request from its headers and its route. */
internal class PreparationFactory(private val context: ServingContext) {
    /** Returns the preparation of [request], not yet begun. */
    fun create(request: AdmittedRequest, listener: PreparationListener): Preparation {
        val headers = request.caller.headers
        val order = PreparationOrder(
            request = request.id,
            stages = request.route.stages,
            pieceCounts = HeaderValues.pieceCounts(headers[WireHeaders.PIECE_COUNTS]).orEmpty(),
            pieceKey = headers[WireHeaders.PIECE_KEY],
            priority = request.priority,
            objectiveAt = request.caller.receivedAt + request.route.objective,
            deadline = request.endsAt,
            abandonedAt = request.caller.receivedAt + CallerWaitLimit.of(request.route),
            readAt = request.prompt?.let { prompt ->
                context.placement.preferredDataCentre(prompt, context.endpoints.usable(request.pool).map { it.entry })
            },
        )
        return Preparation(
            order,
            context.stageClient,
            context.retryBudget,
            context.thread,
            context.endpoints::dataCentreOf,
            listener,
        )
    }
}
