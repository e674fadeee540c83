package org.bilberryhead.core.routing

import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.message.LoadReport
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Chooses the endpoint with the fewest attempts in flight from this process; ties are broken at random. */
class LeastInFlightSelector(private val source: CandidateSource, private val random: Random) : EndpointSelector {
    private val inFlight = ConcurrentHashMap<EndpointId, AtomicInteger>()

    override fun choose(selection: SelectionRequest, now: Instant): Selection {
        val candidates = source.candidates(selection.pool)
        val untried = candidates.filter { it.endpoint !in selection.excludedEndpoints }
        if (untried.isEmpty()) return Selection.NoneAvailable(candidates.size, "no endpoint is left to try", 1.seconds)
        // Reads each count once, because other threads change the counts at the same time.
        val candidatesByCount = untried.groupBy { count(it.endpoint) }
        val fewest = candidatesByCount.keys.min()
        val chosen = candidatesByCount.getValue(fewest).random(random)
        return Selection.Chosen(chosen, candidates.size, "$fewest attempts in flight")
    }

    override fun recordDispatch(endpoint: EndpointId, now: Instant) {
        inFlight.computeIfAbsent(endpoint) { AtomicInteger() }.incrementAndGet()
    }

    override fun recordEnd(endpoint: EndpointId, result: AttemptResult, elapsed: Duration, now: Instant) {
        inFlight[endpoint]?.decrementAndGet()
    }

    override fun recordLoad(endpoint: EndpointId, load: LoadReport, now: Instant) = Unit

    private fun count(endpoint: EndpointId): Int = inFlight[endpoint]?.get() ?: 0
}
