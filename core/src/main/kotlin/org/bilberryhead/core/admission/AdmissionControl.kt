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
    /**
     * The request may run.
     *
     * @property mayRefuse whether a stage may still refuse it by prediction
     */
    data class Admitted(val mayRefuse: Boolean) : Admission

    /** The request would not be answered in time; coming back after [retryAfter] may help. */
    data class Refused(val why: String, val retryAfter: Duration) : Admission
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

    /** Lets every request in. */
    data object Open : AdmissionControl() {
        override fun check(
            account: ClientAccount,
            route: Route,
            tables: Tables,
            remaining: Duration,
            now: Instant,
        ): Admission = Admission.Admitted(mayRefuse = true)

        override fun recordAnswered(route: Route, now: Instant) = Unit
    }

    /**
     * Refuses what is predicted to be late, except for accounts that ask for no more than their share.
     *
     * @param refuseAt part of the remaining time; a longer prediction over all stages refuses the request
     */
    class Predictive(private val selector: EndpointSelector, private val refuseAt: Double = 0.4) : AdmissionControl() {
        private val sharesByKind = ConcurrentHashMap<RequestKind, FairShares>()

        override fun check(
            account: ClientAccount,
            route: Route,
            tables: Tables,
            remaining: Duration,
            now: Instant,
        ): Admission {
            val predicted = predict(route, tables, now)
            val excess = predicted - remaining * refuseAt
            val isLate = excess.isPositive()
            val shares = sharesOf(route)
            shares.recordDemand(account, now)
            if (!isLate) return Admission.Admitted(mayRefuse = true)
            if (!shares.isOverShare(account, now)) return Admission.Admitted(mayRefuse = false)
            return Admission.Refused("predicted $predicted of $remaining left", maxOf(excess, MINIMUM_RETRY))
        }

        override fun recordAnswered(route: Route, now: Instant) = sharesOf(route).recordServed(now)

        private fun sharesOf(route: Route) = sharesByKind.computeIfAbsent(route.kind) { FairShares() }

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
