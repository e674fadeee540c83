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

/** Whether a request is admitted. */
sealed interface Admission {
    /** The request may run. */
    data object Admitted : Admission

    /** The request is predicted to miss its deadline; a retry after [retryAfter] may succeed. */
    data class Refused(val reason: String, val retryAfter: Duration) : Admission
}

/** Decides at an entry which requests are admitted. Thread-safe. */
sealed class AdmissionControl {
    /** Returns whether a request of [account] on [route] with [remaining] time is admitted. */
    abstract fun check(
        account: ClientAccount,
        route: Route,
        tables: Tables,
        remaining: Duration,
        now: Instant,
    ): Admission

    /** Counts a request on [route] that got a response. */
    abstract fun recordServed(route: Route, now: Instant)

    /** Counts a request on [route] that was refused, here or at a later point, or ended without a response. */
    abstract fun recordUnserved(route: Route, now: Instant)

    /** Admits every request. */
    data object Open : AdmissionControl() {
        override fun check(
            account: ClientAccount,
            route: Route,
            tables: Tables,
            remaining: Duration,
            now: Instant,
        ): Admission = Admission.Admitted

        override fun recordServed(route: Route, now: Instant) = Unit

        override fun recordUnserved(route: Route, now: Instant) = Unit
    }

    /**
     * Refuses requests that are predicted to take too long over all stages. For accounts that exceed their share the
     * limit is lower, so that overload is shed from their requests only.
     *
     * @param refuseAt share of the remaining time that a request of an account within its share may be predicted to use
     * @param refuseOverShareAt the same for an account with a demand of twice its share or more
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

        override fun recordServed(route: Route, now: Instant) = sharesOf(route).recordServed(now)

        override fun recordUnserved(route: Route, now: Instant) = sharesOf(route).recordUnserved(now)

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
        /** Shortest retry time that is reported to a refused caller. */
        val MINIMUM_RETRY = 100.milliseconds
    }
}
