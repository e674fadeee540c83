package org.bilberryhead.core.serving

import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.common.PoolName
import kotlin.time.Duration

/** A secret that identifies the client account of a caller. */
@JvmInline
value class ApiKey(val value: String) {
    override fun toString(): String = "(secret)"
}

/** Whether a request may run more than once, and the form of its response. */
enum class RepeatRule {
    /** The request may run any number of times. */
    IDEMPOTENT,

    /** The request may run at most once. */
    AT_MOST_ONCE,

    /** The request may run at most once; its response is a stream of events. */
    STREAM,

    /** The response is a stream of events, which another run may resume after the last event that was delivered. */
    RESUMABLE_STREAM,
    ;

    /** Whether the response is a stream of events. */
    val isStream: Boolean get() = this == STREAM || this == RESUMABLE_STREAM

    /** Whether a request that may have run can be sent again. */
    val mayRepeat: Boolean get() = this == IDEMPOTENT || this == RESUMABLE_STREAM
}

/** One of the pools of a route. The route divides its requests among them in proportion to [weight]. */
data class WeightedPool(val pool: PoolName, val weight: Double)

/**
 * A stage of work that is done before a request of a route can run. It consists of pieces.
 *
 * @property inputStages indices of the stages whose results this one reads
 * @property resultBytes approximate size of the result of one piece
 */
data class PreparationStage(val pool: PoolName, val inputStages: List<Int>, val resultBytes: Long)

/**
 * A route of the configuration.
 *
 * @property host host of the requests, in the form that it has in their heads: one character per byte
 * @property prefix beginning of their paths, in the same form
 * @property timeout maximum time from a request to the end of its response
 * @property objective target time for the complete response; for streams, for the first event
 * @property maximumAttempts maximum number of endpoints to which one request is sent
 * @property priority priority of the requests; 0 is the highest
 * @property isPublic whether requests need no API key
 * @property stages stages that prepare a request; empty when it runs without preparation
 * @property maximumEventGap target for the longest time between two events of a stream, or null
 */
data class ServingRoute(
    val name: String,
    val host: String,
    val prefix: String,
    val pools: List<WeightedPool>,
    val repeatRule: RepeatRule,
    val timeout: Duration,
    val objective: Duration,
    val maximumAttempts: Int,
    val priority: Int,
    val isPublic: Boolean = false,
    val stages: List<PreparationStage> = emptyList(),
    val maximumEventGap: Duration? = null,
)

/** Capacity of one model engine of a pool: requests that run concurrently, and tokens that fit into its KV cache. */
data class EngineCapacity(val slots: Int, val memoryTokens: Long)

/**
 * How the endpoints of a pool process pieces of preparation stages.
 *
 * @property concurrentCalls calls that one endpoint runs concurrently
 * @property queueLength calls that may wait in the queue of one endpoint
 * @property batchSize maximum number of pieces in one call
 * @property callOverhead time of a call in addition to that of its pieces
 * @property timePerPiece approximate processing time of one piece
 * @property resultMemoryBytes memory of one endpoint for results
 * @property resultRetention how long an endpoint keeps a result that is not released
 */
data class PieceProcessingProfile(
    val concurrentCalls: Int,
    val queueLength: Int,
    val batchSize: Int,
    val callOverhead: Duration,
    val timePerPiece: Duration,
    val resultMemoryBytes: Double,
    val resultRetention: Duration,
)

/**
 * A pool of endpoints.
 *
 * @property maximumConnections connections that one endpoint accepts in total
 * @property engine capacity of its model engines, or null when the pool runs no models
 * @property pieceProcessing how its endpoints process pieces, or null when the pool serves no preparation stage
 * @property coldStart what its endpoints tolerate while they are cold, or null when they are never cold
 */
data class ServingPool(
    val name: PoolName,
    val maximumConnections: Int,
    val engine: EngineCapacity? = null,
    val pieceProcessing: PieceProcessingProfile? = null,
    val coldStart: ColdStart? = null,
)

/** Limits on the size and duration of the requests of callers. */
data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerTimeout: Duration,
    val idleTimeout: Duration,
)

/**
 * A client account of the configuration.
 *
 * @property priority overrides the priority of the route unless it is null
 * @property isNameSendable whether endpoints can be told the name of the account; nothing is forwarded for it otherwise
 */
data class AccountEntry(val account: ClientAccount, val priority: Int?, val isNameSendable: Boolean = true)

/**
 * One version of the configuration of the platform.
 *
 * @property accounts accounts by API key, or null when the configuration has no list of them; no route needs a key then
 */
data class ServingConfiguration(
    val version: Long,
    val routes: List<ServingRoute>,
    val pools: Map<PoolName, ServingPool>,
    val limits: CallerLimits,
    val accounts: Map<ApiKey, AccountEntry>?,
)
