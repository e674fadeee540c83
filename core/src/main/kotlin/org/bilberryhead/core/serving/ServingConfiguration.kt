package org.bilberryhead.core.serving

import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.common.PoolName
import kotlin.time.Duration

/** A secret with which a caller shows its client account. */
@JvmInline
value class ApiKey(val value: String) {
    override fun toString(): String = "(secret)"
}

/** What may be done again for one request. */
enum class RepeatRule {
    /** The request may run any number of times. */
    IDEMPOTENT,

    /** The request may run once at most. */
    AT_MOST_ONCE,

    /** The request may run once at most; its answer is a series of events. */
    STREAM,

    /** As [STREAM], but a further run may go on after the last event that was delivered. */
    RESUMABLE_STREAM,
    ;

    /** Whether the answer is a series of events. */
    val isStream: Boolean get() = this == STREAM || this == RESUMABLE_STREAM

    /** Whether a request that may have run can be sent again. */
    val mayRepeat: Boolean get() = this == IDEMPOTENT || this == RESUMABLE_STREAM
}

/** One of the pools among which a route divides its requests by [weight]. */
data class WeightedPool(val pool: PoolName, val weight: Double)

/**
 * Work that is done before a request of a route can run.
 *
 * @property inputStages indices of the stages whose results this one reads
 * @property resultBytes approximate size of the result of one piece
 */
data class PreparationStage(val pool: PoolName, val inputStages: List<Int>, val resultBytes: Long)

/**
 * A row of the routes table as the platform's operators write it.
 *
 * @property timeout longest time that a request may wait for its final answer
 * @property objective time within which an answer counts as in time; for streams, up to the first event
 * @property maximumAttempts most endpoints to which one request may be sent
 * @property priority rank of the requests, 0 first
 * @property isPublic whether requests need no API key
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

/** What one model engine of a pool can hold. */
data class EngineCapacity(val slots: Int, val memoryTokens: Long)

/**
 * How the endpoints of a pool take pieces of preparation stages.
 *
 * @property concurrentCalls calls that one endpoint works on at the same time
 * @property queueLength calls that may wait at one endpoint
 * @property batchSize most pieces in one call
 * @property callOverhead time of a call beside its pieces
 * @property timePerPiece approximate time of one piece
 * @property resultMemoryBytes memory of one endpoint for results
 * @property resultRetention how long a result is kept that nobody gives up
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
 * @property maximumConnections connections that one endpoint accepts from all callers together
 */
data class ServingPool(
    val name: PoolName,
    val maximumConnections: Int,
    val engine: EngineCapacity? = null,
    val pieceProcessing: PieceProcessingProfile? = null,
)

/** Bounds on what a caller may send. */
data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerTimeout: Duration,
    val idleTimeout: Duration,
)

/** A client account and its rank, which goes before that of the route. */
data class AccountEntry(val account: ClientAccount, val priority: Int?)

/** One version of everything that operators set. */
data class ServingConfiguration(
    val version: Long,
    val routes: List<ServingRoute>,
    val pools: Map<PoolName, ServingPool>,
    val limits: CallerLimits,
    val accounts: Map<ApiKey, AccountEntry>?,
)
