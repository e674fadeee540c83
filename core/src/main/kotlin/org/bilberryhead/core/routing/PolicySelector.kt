package org.bilberryhead.core.routing

import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.message.LoadReport
import org.bilberryhead.core.tables.Objective
import org.bilberryhead.core.tables.Pool
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.math.max
import kotlin.math.min
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * Chooses endpoints by a [ChoicePolicy] and keeps the state of pools and endpoints that it needs. Thread-safe; no
 * operation takes a lock.
 *
 * @param dataCentre where this process runs
 */
class PolicySelector(
    private val source: CandidateSource,
    private val dataCentre: DataCentre,
    random: Random,
    private val policy: ChoicePolicy = ChoicePolicy.PredictedCompletion(),
) : EndpointSelector {
    private val random = AtomicRandom(random.nextLong())
    private val nextIndex = AtomicInteger()
    private val endpoints = ConcurrentHashMap<EndpointId, EndpointState>()
    private val pools = ConcurrentHashMap<PoolName, PoolState>()
    private val ejectionLimits = (policy as? ChoicePolicy.PredictedCompletion)?.ejection ?: EjectionLimits()

    override fun choose(selection: SelectionRequest, now: Instant): Selection {
        val view = viewOf(selection.pool, now)
        return when (policy) {
            ChoicePolicy.Random -> chooseUntried(selection, view) { random.nextInt(it.size) }
            ChoicePolicy.RoundRobin -> chooseUntried(selection, view) {
                Math.floorMod(nextIndex.getAndIncrement(), it.size)
            }
            ChoicePolicy.LeastInFlight -> chooseUntried(selection, view) { fewestInFlight(view, it, it.size) }
            ChoicePolicy.TwoChoices -> chooseUntried(selection, view) { fewestInFlight(view, it, 2) }
            is ChoicePolicy.PredictedCompletion -> choosePredicted(policy, selection, view)
        }
    }

    override fun recordDispatch(endpoint: EndpointId, now: Instant) {
        endpoints[endpoint]?.recordDispatch(now.toEpochMilliseconds())
    }

    override fun recordEnd(endpoint: EndpointId, result: AttemptResult, elapsed: Duration, now: Instant) {
        val state = endpoints[endpoint] ?: return
        state.recordEnd(result, ejectionLimits, now.toEpochMilliseconds())
        state.pool.recordEnd(result, elapsed)
    }

    override fun recordLoad(endpoint: EndpointId, load: LoadReport, now: Instant) {
        val state = endpoints[endpoint] ?: return
        state.recordLoad(load, ejectionLimits, now.toEpochMilliseconds())
        state.pool.recordService(load.serviceMillis)
    }

    override fun stageTimes(pool: PoolName): StageTimes? {
        if (policy !is ChoicePolicy.PredictedCompletion) return null
        return pools[pool]?.times
    }

    override fun predict(pool: Pool, now: Instant): Duration? {
        if (policy !is ChoicePolicy.PredictedCompletion) return null
        val view = viewOf(pool, now)
        if (view.candidates.isEmpty() || view.state.serviceMillis == 0.0) return null
        val sampled = sample(policy, view, emptySet())
        return sampled.minOfOrNull { it.completionMillis }?.milliseconds
    }

    private fun viewOf(pool: Pool, now: Instant): PoolView {
        val nowMillis = now.toEpochMilliseconds()
        val state = pools[pool.name] ?: pools.computeIfAbsent(pool.name) { PoolState(nowMillis) }
        state.size = pool.endpoints.size
        state.concurrency = pool.concurrency
        return PoolView(source.candidates(pool), state, nowMillis)
    }

    private fun stateOf(view: PoolView, candidate: Candidate): EndpointState {
        val state = endpoints[candidate.endpoint] ?: endpoints.computeIfAbsent(candidate.endpoint) {
            EndpointState(
                view.state,
                view.nowMillis,
                random.nextInt(PROBE_JITTER_STEPS) / PROBE_JITTER_STEPS.toDouble(),
            )
        }
        state.resetOnRestart(candidate.incarnation, view.nowMillis)
        return state
    }

    private inline fun chooseUntried(
        selection: SelectionRequest,
        view: PoolView,
        index: (List<Candidate>) -> Int,
    ): Selection {
        val untried = view.candidates.filter { it.endpoint !in selection.excludedEndpoints }
        if (untried.isEmpty()) return noneAvailable(view)
        val chosen = untried[index(untried)]
        val inFlight = stateOf(view, chosen).inFlight
        return Selection.Chosen(chosen, view.candidates.size, "$inFlight attempts in flight")
    }

    private fun fewestInFlight(view: PoolView, untried: List<Candidate>, sampleSize: Int): Int {
        val start = random.nextInt(untried.size)
        val indices = (0 until min(sampleSize, untried.size)).map {
            if (sampleSize < untried.size) random.nextInt(untried.size) else (start + it) % untried.size
        }
        return indices.minBy { stateOf(view, untried[it]).inFlight }
    }

    private fun choosePredicted(
        policy: ChoicePolicy.PredictedCompletion,
        selection: SelectionRequest,
        view: PoolView,
    ): Selection {
        if (view.candidates.isEmpty()) return noneAvailable(view)
        probe(selection, view)?.let { return it }
        val sampled = sample(policy, view, selection.excludedEndpoints)
        val remainingMillis = selection.remaining.toDouble(DurationUnit.MILLISECONDS)
        val fastest = sampled.minByOrNull { it.completionMillis } ?: return chooseOutsideSample(selection, view)
        val excess = fastest.completionMillis - remainingMillis * policy.refuseAt
        if (selection.mayRefuse && excess > 0) {
            val reason = "predicted ${fastest.completionMillis.toInt()} ms of ${remainingMillis.toInt()} ms left"
            return Selection.NoneAvailable(view.candidates.size, reason, max(excess, MINIMUM_RETRY_MILLIS).milliseconds)
        }
        val best = when (selection.objective) {
            Objective.ATTAINMENT -> leastWaiting(policy, sampled, remainingMillis) ?: fastest
            Objective.COST -> cheapest(policy, sampled, remainingMillis)
                ?: leastWaiting(policy, sampled, remainingMillis) ?: fastest
        }
        val chosen = cachedPrefixEndpoint(policy, selection, view, best) ?: best
        val reason = "predicted ${chosen.completionMillis.toInt()} ms"
        return Selection.Chosen(chosen.candidate, view.candidates.size, reason)
    }

    /** Returns a few endpoints that are not ejected and not in [excluded], with their predictions. */
    private fun sample(
        policy: ChoicePolicy.PredictedCompletion,
        view: PoolView,
        excluded: Set<EndpointId>,
    ): List<Predicted> {
        val size = view.candidates.size
        val sampled = ArrayList<Predicted>(policy.sampleSize)
        val start = random.nextInt(size)
        val comparesAll = size <= policy.sampleSize * 2
        for (step in 0 until if (comparesAll) size else policy.sampleSize) {
            val candidate = view.candidates[if (comparesAll) (start + step) % size else random.nextInt(size)]
            val state = stateOf(view, candidate)
            if (state.isEjected || candidate.endpoint in excluded) continue
            sampled += predict(policy, view, candidate, state)
        }
        return sampled
    }

    private fun predict(
        policy: ChoicePolicy.PredictedCompletion,
        view: PoolView,
        candidate: Candidate,
        state: EndpointState,
    ): Predicted {
        val isRemote = candidate.dataCentre != dataCentre
        val roundTrip = if (isRemote) policy.remoteRoundTrip.toDouble(DurationUnit.MILLISECONDS) else 0.0
        val service = state.serviceMillis(view.nowMillis)
        val wait = state.waitMillis(service)
        val factor = state.slowStartFactor(policy.slowStart.inWholeMilliseconds, view.nowMillis)
        return Predicted(candidate, (service + wait) * factor + roundTrip, wait, service)
    }

    private fun leastWaiting(
        policy: ChoicePolicy.PredictedCompletion,
        sampled: List<Predicted>,
        remainingMillis: Double,
    ): Predicted? = sampled.filter { it.completionMillis <= remainingMillis * policy.waitHeadroom }
        .minByOrNull { it.completionMillis + (policy.waitWeight - 1) * it.waitMillis }

    private fun cheapest(
        policy: ChoicePolicy.PredictedCompletion,
        sampled: List<Predicted>,
        remainingMillis: Double,
    ): Predicted? = sampled.filter { it.completionMillis <= remainingMillis * policy.costHeadroom }
        .minByOrNull {
            it.completionMillis + (policy.costWaitWeight - 1) * it.waitMillis + policy.costWeight * it.serviceMillis
        }

    private fun cachedPrefixEndpoint(
        policy: ChoicePolicy.PredictedCompletion,
        selection: SelectionRequest,
        view: PoolView,
        best: Predicted,
    ): Predicted? {
        if (selection.prefixHash == 0) return null
        val preferred = view.candidates.maxBy { mix(it.endpoint.hashCode() xor selection.prefixHash) }
        val state = stateOf(view, preferred)
        if (state.isEjected || preferred.endpoint in selection.excludedEndpoints) return null
        val predicted = predict(policy, view, preferred, state)
        return predicted.takeIf { it.completionMillis <= best.completionMillis * policy.maximumPrefixSlowdown }
    }

    private fun probe(selection: SelectionRequest, view: PoolView): Selection? {
        if (!view.state.hasEjected) return null
        val candidate = view.candidates[random.nextInt(view.candidates.size)]
        val state = stateOf(view, candidate)
        val isProbe =
            state.isEjected && candidate.endpoint !in selection.excludedEndpoints && tryProbe(state, selection, view)
        return if (isProbe) Selection.Chosen(candidate, view.candidates.size, "probe after failures") else null
    }

    /**
     * Chooses any untried endpoint when all endpoints in the sample are ejected or were tried. While some endpoint
     * is not ejected, ejected ones get only probes, because the others may have refused only because of overload.
     */
    private fun chooseOutsideSample(selection: SelectionRequest, view: PoolView): Selection {
        val untried = view.candidates.filter { it.endpoint !in selection.excludedEndpoints }
        if (untried.isEmpty()) return noneAvailable(view)
        val working = untried.filter { !stateOf(view, it).isEjected }
        val areAllEjected = working.isEmpty() && view.candidates.all { stateOf(view, it).isEjected }
        val usable = if (areAllEjected) untried else working
        if (usable.isEmpty()) return probeUntried(selection, view, untried)
        val chosen = usable[random.nextInt(usable.size)]
        return Selection.Chosen(chosen, view.candidates.size, "the sample held no other endpoint")
    }

    private fun probeUntried(selection: SelectionRequest, view: PoolView, untried: List<Candidate>): Selection {
        val chosen =
            untried.firstOrNull { tryProbe(stateOf(view, it), selection, view) } ?: return noneAvailable(view)
        return Selection.Chosen(chosen, view.candidates.size, "probe, as no other endpoint is left")
    }

    private fun tryProbe(state: EndpointState, selection: SelectionRequest, view: PoolView): Boolean =
        state.tryProbe(selection.mayRepeat, ejectionLimits, view.nowMillis)

    private fun noneAvailable(view: PoolView) =
        Selection.NoneAvailable(view.candidates.size, "no endpoint is left to try", NONE_AVAILABLE_RETRY_DELAY)

    private fun mix(hash: Int): Int {
        val mixed = hash * MIX_FACTOR
        return mixed xor (mixed ushr MIX_SHIFT)
    }

    /** The candidates and the state of a pool at the time of one selection. */
    private class PoolView(val candidates: List<Candidate>, val state: PoolState, val nowMillis: Long)

    private class Predicted(
        val candidate: Candidate,
        val completionMillis: Double,
        val waitMillis: Double,
        val serviceMillis: Double,
    )

    private companion object {
        /** Odd factor, so that multiplication maps different hashes to different values. */
        const val MIX_FACTOR = -1_640_531_535
        const val MIX_SHIFT = 15

        /** Number of different delays of probes. */
        const val PROBE_JITTER_STEPS = 1024

        /** Shortest retry time that is reported to a refused caller, in milliseconds. */
        const val MINIMUM_RETRY_MILLIS = 100.0

        /** Retry time that is reported to a caller when all endpoints were tried or none is available. */
        val NONE_AVAILABLE_RETRY_DELAY = 1.seconds
    }
}
