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
 * An endpoint that can accept work now.
 *
 * @property incarnation the sidecar process that attempts on the endpoint are addressed to
 */
data class Candidate(val endpoint: EndpointId, val incarnation: Incarnation, val dataCentre: DataCentre)

/**
 * The requirements for choosing an endpoint.
 *
 * @property excludedEndpoints endpoints that must not be chosen, because the stage was already attempted on them
 * @property remaining time until the deadline of the stage
 * @property prefixHash groups requests that share a prompt prefix; 0 when unknown
 * @property mayRepeat whether the work can be repeated; work that cannot hardly ever probes an ejected endpoint
 * @property mayRefuse whether the selection may fail when no endpoint is predicted to respond in time
 */
data class SelectionRequest(
    val request: RequestId,
    val pool: Pool,
    val remaining: Duration,
    val objective: Objective,
    val excludedEndpoints: Set<EndpointId> = emptySet(),
    val prefixHash: Int = 0,
    val mayRepeat: Boolean = true,
    val mayRefuse: Boolean = true,
)

/** The outcome of a selection, with the reason for log lines. */
sealed interface Selection {
    /** Number of endpoints that were considered. */
    val candidates: Int

    /** The work goes to [candidate]. */
    data class Chosen(val candidate: Candidate, override val candidates: Int, val reason: String) : Selection

    /**
     * No endpoint was found, or none is predicted to respond in time.
     *
     * @property retryAfter time after which a retry may succeed, or null when it is not known
     */
    data class NoneAvailable(override val candidates: Int, val reason: String, val retryAfter: Duration?) : Selection
}

/** How an attempt ended, as far as it matters for choosing endpoints. */
enum class AttemptResult {
    /** The complete response arrived. */
    ANSWERED,

    /** The attempt did not run. */
    REFUSED,

    /** The attempt failed after it may have run, or its outcome is unknown. */
    FAILED,

    /** This process cancelled the attempt or no longer needs its result, which says nothing about the endpoint. */
    ABANDONED,
}

/**
 * How long the endpoints of a pool take from dispatch to response, as seen from this process.
 *
 * @property mean moving average
 * @property p95 95th percentile
 * @property p99 99th percentile
 */
data class StageTimes(val mean: Duration, val p95: Duration, val p99: Duration)

/** Chooses endpoints, and estimates their speed and load from recorded attempts. Implementations are thread-safe. */
interface EndpointSelector {
    /** Returns the endpoint for the next attempt that [selection] describes, or the reason for which there is none. */
    fun choose(selection: SelectionRequest, now: Instant): Selection

    /** Records that an attempt was sent to [endpoint]. */
    fun recordDispatch(endpoint: EndpointId, now: Instant)

    /** Records that an attempt on [endpoint] ended after [elapsed]. */
    fun recordEnd(endpoint: EndpointId, result: AttemptResult, elapsed: Duration, now: Instant)

    /** Records a load report of the sidecar of [endpoint]. */
    fun recordLoad(endpoint: EndpointId, load: LoadReport, now: Instant)

    /** Returns how long attempts in [pool] take, or null when that is not known. */
    fun stageTimes(pool: PoolName): StageTimes? = null

    /** Returns the predicted time until the response to an attempt in [pool] that is sent now, or null when unknown. */
    fun predict(pool: Pool, now: Instant): Duration? = null
}

/** Provides the endpoints of a pool that can be reached and accept work. Implementations are thread-safe. */
fun interface CandidateSource {
    /** Returns the endpoints of [pool] that are connected, serving and not draining. */
    fun candidates(pool: Pool): List<Candidate>
}
