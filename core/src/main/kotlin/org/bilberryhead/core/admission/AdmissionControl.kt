package org.bilberryhead.core.admission

import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.common.RequestKind
import org.bilberryhead.core.routing.EndpointSelector
import org.bilberryhead.core.tables.Route
import org.bilberryhead.core.tables.Tables
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Whether a request is let in. */
sealed interface Admission {
    /** The request may run. */
    data object Admitted : Admission

    /** The request would not be answered in time; coming back after [retryAfter] may help. */
    data class Refused(val reason: String, val retryAfter: Duration) : Admission
}

/** Decides at an entry which requests are worth starting. Safe for use by several threads. */
sealed class AdmissionControl {
    /** Returns whether a request of [account] on [route] with [remaining] time is let in. */
    abstract fun check(
        account: ClientAccount,
        route: Route,
        tables: Tables,
        remaining: Duration,
        now: Instant,
    ): Admission

    /** Counts a request on [route] that was answered. */
    abstract fun recordAnswered(route: Route, now: Instant)

    /** Counts a request on [route] that was refused, here or later, or ended without an answer. */
    abstract fun recordUnanswered(route: Route, now: Instant)

    /** Lets every request in. */
    data object Open : AdmissionControl() {
        override fun check(
            account: ClientAccount,
            route: Route,
            tables: Tables,
            remaining: Duration,
            now: Instant,
        ): Admission = Admission.Admitted

        override fun recordAnswered(route: Route, now: Instant) = Unit

        override fun recordUnanswered(route: Route, now: Instant) = Unit
    }

    /**
     * Refuses what is predicted to take too long over all stages. Accounts that ask for more than their share are
     * refused sooner than the others, so that they alone keep the load at the limit.
     *
     * @param refuseAt part of the remaining time that a request of an account within its share may be predicted to use
     * @param refuseOverShareAt the same for an account that asks for twice its share or more
     */
    class Predictive(
        private val selector: EndpointSelector,
        private val refuseAt: Double = 0.5,
        private val refuseOverShareAt: Double = 0.2,
    ) : AdmissionControl() {
        private val sharesByKind = ConcurrentHashMap<RequestKind, FairShares>()

        override fun check(
            account: ClientAccount,
            route: Route,
            tables: Tables,
            remaining: Duration,
            now: Instant,
        ): Admission {
            val predicted = predict(route, tables, now)
            val shares = sharesOf(route)
            shares.recordDemand(account, now)
            val excess = predicted - remaining * limitFor(shares.demandRatio(account, now))
            if (!excess.isPositive()) return Admission.Admitted
            return Admission.Refused("predicted $predicted of $remaining left", maxOf(excess, MINIMUM_RETRY))
        }

        override fun recordAnswered(route: Route, now: Instant) = sharesOf(route).recordServed(now)

        override fun recordUnanswered(route: Route, now: Instant) = sharesOf(route).recordUnserved(now)

        private fun limitFor(demandRatio: Double): Double {
            val overShare = (demandRatio - 1).coerceIn(0.0, 1.0)
            return refuseAt + (refuseOverShareAt - refuseAt) * overShare
        }

        private fun sharesOf(route: Route) = sharesByKind.computeIfAbsent(route.kind) {
            FairShares(isUnservedCounted = true)
        }

        private fun predict(route: Route, tables: Tables, now: Instant): Duration =
            route.stages.fold(Duration.ZERO) { sum, stage ->
                val pool = tables.poolOf(stage)
                sum + (pool?.let { selector.predict(it, now) } ?: Duration.ZERO)
            }
    }

    private companion object {
        /** Shortest time after which a caller is told to come back. */
        val MINIMUM_RETRY = 100.milliseconds
    }
}
