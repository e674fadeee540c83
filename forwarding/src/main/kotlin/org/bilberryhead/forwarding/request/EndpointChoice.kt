package org.bilberryhead.forwarding.request

import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.serving.EndpointEntry
import org.bilberryhead.core.serving.ResultHandle
import org.bilberryhead.forwarding.endpoint.Endpoint

/** Finds the endpoint that a request is sent to next. */
internal class EndpointChoice(private val context: ServingContext) {
    /** What was found. */
    sealed interface Choice {
        /** No endpoint of the pool is known. */
        data object NoneKnown : Choice

        /** No endpoint can take another connection now. */
        data object NoneFree : Choice

        /** The request goes to [endpoint]. */
        data class Use(val endpoint: Endpoint) : Choice
    }

    /**
     * Returns where [request] goes.
     *
     * @param inputs results that the request reads
     * @param avoided endpoints that failed it already; used only when there is no other
     */
    fun choose(request: AdmittedRequest, inputs: List<ResultHandle>, avoided: Set<Endpoint>): Choice {
        val usable = context.endpoints.usable(request.pool)
        val candidates = usable.filter { it !in avoided }.ifEmpty { usable }
        val open = candidates.filter { it.connections.canAcquire() }
        return when {
            candidates.isEmpty() -> Choice.NoneKnown
            open.isEmpty() -> Choice.NoneFree
            else -> Choice.Use(best(request, inputs, open))
        }
    }

    private fun best(request: AdmittedRequest, inputs: List<ResultHandle>, open: List<Endpoint>): Endpoint {
        val now = context.thread.now()
        val prompt = request.prompt
        if (prompt == null || open.first().engine == null) return open.minBy { it.load.expectedAnswerTime(now) }
        val byEntry = open.associateBy { it.entry }
        val books = { entry: EndpointEntry -> checkNotNull(byEntry.getValue(entry).engine) }
        val near = placeOfLargeInputs(request, inputs)
        return byEntry.getValue(checkNotNull(context.placement.choose(byEntry.keys.toList(), prompt, books, near, now)))
    }

    private fun placeOfLargeInputs(request: AdmittedRequest, inputs: List<ResultHandle>): DataCentre? =
        inputs.firstOrNull()
            ?.takeIf { request.route.stages.last().resultBytes * inputs.size >= LARGE_INPUT_BYTES }
            ?.let(context.endpoints::dataCentreOf)

    private companion object {
        const val LARGE_INPUT_BYTES = 500_000L
    }
}
