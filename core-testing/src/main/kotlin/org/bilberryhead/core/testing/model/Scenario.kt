package org.bilberryhead.core.testing.model

import org.bilberryhead.core.execution.LedgerLimits
import org.bilberryhead.core.pipeline.AdmittedRequest
import org.bilberryhead.core.pipeline.RequestOutcome
import org.bilberryhead.core.tables.Route
import org.bilberryhead.core.testing.testRoute
import org.bilberryhead.core.testing.testStage
import kotlin.time.Instant

/**
 * The requests of a session and the set-up of the sidecars.
 *
 * @property isTicketed whether each order carries a ticket and is submitted through two entries at once
 * @property isTicketShared whether two client accounts use one ticket for different work, which is not allowed
 * @property ledger capacity limits of the sidecars' ledgers
 * @property poolSize number of endpoints of each stage
 * @property concurrency number of attempts that an endpoint runs at once
 */
internal enum class Scenario(
    val route: Route,
    val isTicketed: Boolean = false,
    val isTicketShared: Boolean = false,
    val ledger: LedgerLimits = LedgerLimits(),
    val poolSize: Int = 3,
    val concurrency: Int = 2,
) {
    IDEMPOTENT(
        testRoute(
            kind = "plan",
            stages = listOf(testStage("encode"), testStage("rerank"), testStage("generate", hedged = true)),
        ),
    ),
    NON_IDEMPOTENT(
        testRoute(kind = "refill", stages = listOf(testStage("encode"), testStage("order", idempotent = false))),
    ),
    TICKETED(
        testRoute(
            kind = "booking",
            stages = listOf(testStage("order", idempotent = false), testStage("bill", idempotent = false)),
        ),
        isTicketed = true,
    ),

    /** The second order is queued behind the first at the only endpoint. */
    CROWDED(
        testRoute(kind = "refill", stages = listOf(testStage("order", idempotent = false))),
        poolSize = 1,
        concurrency = 1,
    ),

    /** Ledgers forget ended attempts almost at once: requests may stay unanswered, all other invariants must hold. */
    FORGETFUL(
        testRoute(kind = "booking", stages = listOf(testStage("order", idempotent = false))),
        isTicketed = true,
        ledger = LedgerLimits(maximumEnded = 1),
    ),

    /** Two client accounts use one ticket: at most one may be answered, and only with the response to its own work. */
    SHARED_TICKET(
        testRoute(kind = "booking", stages = listOf(testStage("order", idempotent = false))),
        isTicketed = true,
        isTicketShared = true,
    ),
    STREAMED(
        testRoute(kind = "letter", stages = listOf(testStage("encode"), testStage("generate")), streamed = true),
    ),
}

/**
 * One submission of [order] by its caller, with its outcome.
 *
 * @property effectCountBefore number of effects in the session when the submission started
 * @property isProbe whether this repeats a ticketed order after all other submissions have ended
 */
internal class Submission(
    val order: Order,
    val request: AdmittedRequest,
    val startedAt: Instant,
    val effectCountBefore: Int,
    val isProbe: Boolean,
) {
    /** The concatenated parts of a streamed response that were delivered so far. */
    val delivered = StringBuilder()

    /** Null until the request completes; stays null when the entry is killed first. */
    var outcome: RequestOutcome? = null
    var completedAt: Instant? = null
    val isAnswered: Boolean get() = outcome is RequestOutcome.Answered
}

/** Work that a caller wants done once, through one or more submissions. */
internal class Order(val account: String, val input: String, val expectedResponse: String) {
    val submissions = mutableListOf<Submission>()
}
