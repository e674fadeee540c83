package org.bilberryhead.forwarding.store

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Leaves as much time again for the second call before the outage. */
private val HEDGE_DELAY = 800.milliseconds

/**
 * A sound process may be silent for somewhat over a second, and rows expire after two intervals of the endpoints'
 * renewals at the earliest, which are over two seconds. Until then, entries that the store does not serve learn
 * nothing from others, so that no more time of the bound on configurations may pass.
 */
private val OUTAGE_SILENCE = 1600.milliseconds

/**
 * Timings of the calls that watch a table.
 *
 * @property longPollTimeout longest time that the store delays its response while there are no changes (long polling);
 *   null to read all rows each time
 * @property delayBetweenCalls time between the end of a call and the next one
 * @property delayAfterRead the same while all rows were read less than [catchUpTime] ago
 * @property catchUpTime time after an outage of the store in which rows that expired during it may be written again
 * @property hedgeDelay time after which a call whose response is due is made once more
 * @property outageSilence time after which a response that is due has failed to come; shorter than a silence in which
 *   rows expire, longer than a sound store is silent
 */
internal class WatchTimings(
    val longPollTimeout: Duration?,
    val delayBetweenCalls: Duration,
    val delayAfterRead: Duration = delayBetweenCalls,
    val catchUpTime: Duration = Duration.ZERO,
    val hedgeDelay: Duration = HEDGE_DELAY,
    val outageSilence: Duration = OUTAGE_SILENCE,
) {
    /**
     * Choices for the tables. Designed for hundreds of entries: the calls of all of them share the capacity of the
     * store, so that each makes no more of them than the bounds of the deployment need.
     */
    companion object {
        /** Rows of operators change rarely: a call waits for the change, so that it is known at once. */
        fun forConfiguration(longestDelay: Duration) =
            WatchTimings(longPollTimeout = longestDelay, delayBetweenCalls = Duration.ZERO)

        /**
         * Rows of endpoints change all the time: changes are collected between two calls. After an outage the calls are
         * closer, so that an endpoint whose row is back in time is not taken for gone.
         */
        fun forEndpoints(drainNotice: Duration): WatchTimings {
            val delay = drainNotice * NOTICE_SHARE
            return WatchTimings(
                longPollTimeout = 2.seconds,
                delayBetweenCalls = delay,
                delayAfterRead = minOf(delay, CATCH_UP_DELAY),
                catchUpTime = REREGISTRATION_TIME,
                hedgeDelay = minOf(drainNotice * HEDGE_SHARE, HEDGE_DELAY),
            )
        }

        /** Rows of entries change when one starts or leaves. */
        val forEntries = WatchTimings(longPollTimeout = 25.seconds, delayBetweenCalls = Duration.ZERO)

        /** Crash reports are rare, and must be known at once. */
        val forCrashReports = forEntries

        /** Returns the timings for leases that are renewed every [renewalInterval]. */
        fun forLeases(renewalInterval: Duration) =
            WatchTimings(longPollTimeout = null, delayBetweenCalls = renewalInterval)

        /** Leaves the rest of the notice for the call itself, a retry of it, and requests on their way. */
        private const val NOTICE_SHARE = 0.45

        /** With [NOTICE_SHARE], leaves the rest of the notice for the second call and requests on their way. */
        private const val HEDGE_SHARE = 0.4

        /** Endpoints whose rows expired during an outage of the store write them again within this time after it. */
        private val REREGISTRATION_TIME = 2.seconds
        private val CATCH_UP_DELAY = 800.milliseconds
    }
}
