package org.bilberryhead.forwarding.request

import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.serving.EndpointChoice
import org.bilberryhead.core.serving.EndpointEntry
import org.bilberryhead.core.serving.EndpointRests
import org.bilberryhead.core.serving.ResultHandle
import org.bilberryhead.forwarding.endpoint.Endpoint
import kotlin.time.Duration

/** Selects the endpoint to which a request is sent next. */
internal class AttemptEndpointSelector(private val context: ServingContext) {
    private val choice = EndpointChoice(context.random)

    /** The result of a selection. */
    sealed interface Selection {
        /** No endpoint of the pool is known. */
        data object NoneKnown : Selection

        /**
         * All endpoints of the pool rest, the first one for [firstReturn] from now; the caller of a request that is
         * refused is to come back after [retryAfter], others at other times.
         */
        data class AllResting(val firstReturn: Duration, val retryAfter: Duration) : Selection

        /** This entry uses all the connections that it may open to the endpoints of the pool. */
        data object AllBusy : Selection

        /** [endpoint] can take the request now. */
        data class Selected(val endpoint: Endpoint) : Selection
    }

    /**
     * Selects an endpoint of the request's pool that can take another exchange: for prompts the one with the lowest
     * placement cost, for other requests one with a short expected response time.
     *
     * @param inputs results of the preparation stages that the endpoint will fetch
     * @param excluded endpoints at which the request has failed; considered only when the pool has no other that may be
     *   sent something now: a cold endpoint may not for seconds
     */
    fun select(request: AdmittedRequest, inputs: List<ResultHandle>, excluded: Set<Endpoint>): Selection {
        context.endpoints.timeUntilFirstReturn(request.pool)?.let {
            return Selection.AllResting(firstReturn = it, retryAfter = it + returnDelay())
        }
        val usable = context.endpoints.usable(request.pool).filterNot { context.endpoints.isResting(it.entry) }
        val permitted = usable.filter { context.endpoints.cold.maySend(it.entry) }.ifEmpty { usable }
        val candidates = permitted.filter { it !in excluded }.ifEmpty { permitted }
        val free = candidates.filter(context.endpoints::canSend)
        return when {
            candidates.isEmpty() -> Selection.NoneKnown
            free.isEmpty() -> Selection.AllBusy
            else -> Selection.Selected(selectBest(request, inputs, free))
        }
    }

    /** A random time, by which callers that are refused together come back while the load returns. */
    private fun returnDelay(): Duration = EndpointRests.RETURN_PERIOD * context.random.nextDouble()

    /** Returns whether an endpoint of the pool that is not in [tried] can take the request now. */
    fun hasUntried(request: AdmittedRequest, tried: Set<Endpoint>): Boolean =
        context.endpoints.usable(request.pool).any { it !in tried && context.endpoints.canSend(it) }

    private fun selectBest(request: AdmittedRequest, inputs: List<ResultHandle>, free: List<Endpoint>): Endpoint {
        val now = context.thread.now()
        val prompt = request.prompt
        if (prompt == null || free.first().engine == null) return choice.choose(free, Endpoint::load, now)
        val endpointByEntry = free.associateBy { it.entry }
        val engineOf = { entry: EndpointEntry -> checkNotNull(endpointByEntry.getValue(entry).engine) }
        val inputsDataCentre = dataCentreOfLargeInputs(request, inputs)
        return endpointByEntry.getValue(
            checkNotNull(
                context.placement.choose(endpointByEntry.keys.toList(), prompt, engineOf, inputsDataCentre, now),
            ),
        )
    }

    private fun dataCentreOfLargeInputs(request: AdmittedRequest, inputs: List<ResultHandle>): DataCentre? =
        inputs.firstOrNull()
            ?.takeIf { request.route.stages.last().resultBytes * inputs.size >= LARGE_INPUTS_BYTES }
            ?.let(context.endpoints::dataCentreOf)

    private companion object {
        const val LARGE_INPUTS_BYTES = 500_000L
    }
}
