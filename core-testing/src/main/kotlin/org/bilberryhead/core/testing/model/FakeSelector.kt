package org.bilberryhead.core.testing.model

import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.message.LoadReport
import org.bilberryhead.core.routing.AttemptResult
import org.bilberryhead.core.routing.CandidateSource
import org.bilberryhead.core.routing.EndpointSelector
import org.bilberryhead.core.routing.Selection
import org.bilberryhead.core.routing.SelectionRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Chooses untried endpoints in rotation, and checks that each recorded end belongs to a dispatch. */
internal class FakeSelector(private val source: CandidateSource) : EndpointSelector {
    private val inFlight = HashMap<EndpointId, Int>()
    private var turn = 0

    override fun choose(selection: SelectionRequest, now: Instant): Selection {
        val untried = source.candidates(selection.pool).filter { it.endpoint !in selection.excludedEndpoints }
        if (untried.isEmpty()) return Selection.NoneAvailable(0, "no endpoint is left to try", RETRY_AFTER)
        return Selection.Chosen(untried[turn++ % untried.size], untried.size, "next in turn")
    }

    override fun recordDispatch(endpoint: EndpointId, now: Instant) {
        inFlight.merge(endpoint, 1, Int::plus)
    }

    override fun recordEnd(endpoint: EndpointId, result: AttemptResult, elapsed: Duration, now: Instant) {
        val before = inFlight[endpoint] ?: 0
        check(before > 0) { "an attempt on $endpoint ended twice" }
        inFlight[endpoint] = before - 1
    }

    override fun recordLoad(endpoint: EndpointId, load: LoadReport, now: Instant) = Unit

    private companion object {
        val RETRY_AFTER = 500.milliseconds
    }
}
