package org.bilberryhead.core.testing.model

import org.bilberryhead.core.execution.LedgerLimits
import org.bilberryhead.core.pipeline.AdmittedRequest
import org.bilberryhead.core.pipeline.RequestOutcome
import org.bilberryhead.core.tables.Route
import org.bilberryhead.core.testing.testRoute
import org.bilberryhead.core.testing.testStage
import kotlin.time.Instant

/**
 * A kind of work.
 *
 * @property isTicketed whether each order carries a ticket and is submitted through two entries at once
 * @property isTicketShared whether two client accounts use one ticket for different work, against the rules
 * @property ledger limits of the sidecars' ledgers
 * @property poolSize endpoints for each stage
 * @property concurrency attempts that an endpoint works on at once
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

    /** The second order waits for the first at the only endpoint. */
    CROWDED(
        testRoute(kind = "refill", stages = listOf(testStage("order", idempotent = false))),
        poolSize = 1,
        concurrency = 1,
    ),

    /** Ledgers forget almost at once, so that nothing needs an answer and all the rest must hold. */
    FORGETFUL(
        testRoute(kind = "booking", stages = listOf(testStage("order", idempotent = false))),
        isTicketed = true,
        ledger = LedgerLimits(maximumEnded = 1),
    ),

    /** Two client accounts use one ticket: at most one of them may be answered, and only with its own answer. */
    SHARED_TICKET(
        testRoute(kind = "booking", stages = listOf(testStage("order", idempotent = false))),
        isTicketed = true,
        isTicketShared = true,
    ),
    STREAMED(
        testRoute(kind = "letter", stages = listOf(testStage("encode"), testStage("generate")), streamed = true),
    ),
}

/** One submission of [order] by its caller, and what the caller was told. */
internal class Submission(
    val order: Order,
    val request: AdmittedRequest,
    val startedAt: Instant,
    val effectsBefore: Int,
    val isProbe: Boolean,
) {
    /** What arrived in parts. */
    val delivered = StringBuilder()

    /** Null when the entry died before it answered. */
    var outcome: RequestOutcome? = null
    var toldAt: Instant? = null
    val isAnswered: Boolean get() = outcome is RequestOutcome.Answered
}

/** What one caller wants done once. */
internal class Order(val account: String, val input: String, val expected: String) {
    val submissions = mutableListOf<Submission>()
}
