package org.bilberryhead.core.routing

import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.message.LoadReport
import org.bilberryhead.core.tables.Objective
import org.bilberryhead.core.tables.Pool
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * An endpoint that can be given work now.
 *
 * @property incarnation the sidecar run that an attempt on it would be for
 */
data class Candidate(val endpoint: EndpointId, val incarnation: Incarnation, val dataCentre: DataCentre)

/**
 * What is looked for.
 *
 * @property avoid endpoints that this stage has tried
 * @property remaining time until the deadline of the stage
 * @property prefixHash groups requests that share a prompt prefix; 0 when unknown
 * @property mayProbe whether the work may go to an endpoint that failed before, to see whether it works again
 * @property mayRefuse whether to choose none when no endpoint is predicted to answer in time
 */
data class SelectionRequest(
    val request: RequestId,
    val pool: Pool,
    val remaining: Duration,
    val objective: Objective,
    val avoid: Set<EndpointId> = emptySet(),
    val prefixHash: Int = 0,
    val mayProbe: Boolean = true,
    val mayRefuse: Boolean = true,
)

/** The outcome of a choice, with what a log line needs to explain it. */
sealed interface Selection {
    /** Number of endpoints that were looked at. */
    val candidates: Int

    /** [candidate] is to be given the work. */
    data class Chosen(val candidate: Candidate, override val candidates: Int, val reason: String) : Selection

    /**
     * No endpoint can answer in time.
     *
     * @property retryAfter when coming back may help
     */
    data class NoneAvailable(override val candidates: Int, val reason: String, val retryAfter: Duration?) : Selection
}

/** How an attempt ended, as far as the choice of later endpoints cares. */
enum class AttemptResult { ANSWERED, REFUSED, FAILED, ABANDONED }

/**
 * How long the endpoints of a pool take from dispatch to answer, as seen from this process.
 *
 * @property typical smoothed time
 * @property late time that 19 in 20 attempts stay below
 * @property veryLate time that 99 in 100 attempts stay below
 */
data class StageTimes(val typical: Duration, val late: Duration, val veryLate: Duration)

/** Chooses endpoints and learns from how they do. Implementations are safe for use by several threads. */
interface EndpointSelector {
    /** Returns the endpoint that is to run the next attempt of [selection]. */
    fun choose(selection: SelectionRequest, now: Instant): Selection

    /** Records that an attempt was sent to [endpoint]. */
    fun recordDispatch(endpoint: EndpointId, now: Instant)

    /** Records that an attempt on [endpoint] ended after [elapsed]. */
    fun recordEnd(endpoint: EndpointId, result: AttemptResult, elapsed: Duration, now: Instant)

    /** Records what the sidecar of [endpoint] reported. */
    fun recordLoad(endpoint: EndpointId, load: LoadReport, now: Instant)

    /** Returns how long attempts in [pool] take, or null when that is not known. */
    fun stageTimes(pool: PoolName): StageTimes? = null

    /** Returns when an attempt in [pool] that is sent now would be answered, or null when that is not known. */
    fun predict(pool: Pool, now: Instant): Duration? = null
}

/** Tells which endpoints of a pool can be reached and take work. Safe for use by several threads. */
fun interface CandidateSource {
    /** Returns the endpoints of [pool] that are connected, serving and not leaving. */
    fun candidates(pool: Pool): List<Candidate>
}
