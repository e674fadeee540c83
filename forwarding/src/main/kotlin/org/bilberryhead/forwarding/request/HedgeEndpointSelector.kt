package org.bilberryhead.forwarding.request

import org.bilberryhead.core.serving.Hedging
import org.bilberryhead.core.serving.ResultHandle
import org.bilberryhead.forwarding.endpoint.Endpoint
import kotlin.time.Duration

/** Selects the endpoint of a hedge. */
internal class HedgeEndpointSelector(private val context: ServingContext) {
    /**
     * Returns an endpoint that is not in [tried] and can take [request] now, or null: the best one, or the best one
     * outside the data centre of [first], at which the request is running, when the cost of the two is close.
     */
    fun select(
        request: AdmittedRequest,
        inputs: List<ResultHandle>,
        first: Endpoint,
        tried: Set<Endpoint>,
    ): Endpoint? {
        val excluded = tried + first
        val best = selectBest(request, inputs, excluded) ?: return null
        if (best.entry.dataCentre != first.entry.dataCentre) return best
        val sameDataCentre =
            context.endpoints.usable(request.pool).filter { it.entry.dataCentre == first.entry.dataCentre }
        val elsewhere = selectBest(request, inputs, excluded + sameDataCentre) ?: return best
        return if (Hedging.isClose(costOf(elsewhere, request), costOf(best, request))) elsewhere else best
    }

    private fun selectBest(request: AdmittedRequest, inputs: List<ResultHandle>, excluded: Set<Endpoint>): Endpoint? {
        val selector = AttemptEndpointSelector(context)
        if (!selector.hasUntried(request, excluded)) return null
        val selection = selector.select(request, inputs, excluded) as? AttemptEndpointSelector.Selection.Selected
        return selection?.endpoint?.takeIf { it !in excluded }
    }

    private fun costOf(endpoint: Endpoint, request: AdmittedRequest): Duration {
        val now = context.thread.now()
        val engine = endpoint.engine
        val prompt = request.prompt
        if (engine == null || prompt == null) return endpoint.load.expectedResponseTime(now)
        return engine.expectedTimeToFirstEvent(engine.prefillTokens(prompt, now), now)
    }
}
