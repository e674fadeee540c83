package org.bilberryhead.core.routing

import org.bilberryhead.core.common.AtomicDouble
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.message.LoadReport
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlin.math.exp
import kotlin.math.max
import kotlin.math.min

/**
 * What one process knows of one endpoint. Safe for use by several threads, without locks. Times are milliseconds since
 * the epoch.
 *
 * @property pool the pool that the endpoint belongs to
 * @param spread between 0 and 1; delays the probes of this process against those of the others
 */
internal class EndpointState(val pool: PoolState, nowMillis: Long, private val spread: Double = 0.0) {
    private val attemptsInFlight = AtomicInteger()
    private val loadOfOthers = AtomicDouble()
    private val usualInFlight = AtomicDouble()
    private val failures = AtomicInteger()
    private val ejections = AtomicInteger()
    private val ejectedUntil = AtomicLong(NOT_EJECTED)
    private val incarnation = AtomicReference<String?>()
    private val isProbed = AtomicBoolean()

    @Volatile
    private var report: LoadReport? = null

    @Volatile
    private var reportedAt = nowMillis

    @Volatile
    private var probeDelayMillis = 0L

    @Volatile
    private var progressAt = nowMillis

    @Volatile
    private var warmSince = if (pool.isStarting(nowMillis)) LONG_AGO else nowMillis

    /** Attempts sent from this process that have not ended. */
    val inFlight: Int get() = attemptsInFlight.get()

    /** Whether the endpoint gets no work but probes. */
    val isEjected: Boolean get() = ejectedUntil.get() != NOT_EJECTED

    /** Counts an attempt sent to the endpoint. */
    fun recordDispatch(nowMillis: Long) {
        // Set before the count grows as well: another thread must not take the idle time before for a lack of progress.
        if (attemptsInFlight.get() == 0) progressAt = nowMillis
        if (attemptsInFlight.getAndIncrement() == 0) progressAt = nowMillis
    }

    /** Counts the end of an attempt. */
    fun recordEnd(result: AttemptResult, limits: EjectionLimits, nowMillis: Long) {
        attemptsInFlight.updateAndGet { max(0, it - 1) }
        when (result) {
            AttemptResult.ANSWERED -> recordAnswer(nowMillis)
            AttemptResult.FAILED -> recordFailure(limits, nowMillis)
            AttemptResult.REFUSED -> if (isIdle()) recordFailure(limits, nowMillis) else isProbed.set(false)
            AttemptResult.ABANDONED -> isProbed.set(false)
        }
    }

    /** Forgets what was learnt of an earlier run of the sidecar when [current] is another one. */
    fun follow(current: Incarnation, nowMillis: Long) {
        val before = incarnation.get()
        if (before == current.value || !incarnation.compareAndSet(before, current.value) || before == null) return
        failures.set(0)
        report = null
        loadOfOthers.set(0.0)
        isProbed.set(false)
        comeBack(nowMillis)
    }

    /** Takes what the sidecar reported. The part that other processes sent is smoothed, because reports are late. */
    fun recordLoad(load: LoadReport, limits: EjectionLimits, nowMillis: Long) {
        followFailures(load.failures, report?.failures ?: 0, limits, nowMillis)
        val others = (load.queued + load.running - inFlight).toDouble()
        val weight = if (report == null) 1.0 else 1 - exp(-(nowMillis - reportedAt) / OTHERS_MILLIS)
        loadOfOthers.update { it + weight * (others - it) }
        usualInFlight.update { it + weight * (inFlight - it) }
        report = load
        reportedAt = nowMillis
    }

    /** Whether the pause of an ejected endpoint is over and nobody probes it; the caller then sends the probe. */
    fun tryProbe(nowMillis: Long): Boolean =
        nowMillis >= ejectedUntil.get() + probeDelayMillis && isProbed.compareAndSet(false, true)

    /** Returns the expected service time in milliseconds. */
    fun serviceMillis(nowMillis: Long): Double {
        val usual = max(pool.serviceMillis, UNKNOWN_SERVICE_MILLIS)
        val reported = report?.serviceMillis?.takeIf { it > 0.0 } ?: usual
        // Read before the time of progress, which a dispatch sets before it counts.
        val isWorking = inFlight > 0
        val idleMillis = max(0L, nowMillis - progressAt)
        if (isWorking) return max(reported, idleMillis.toDouble())
        val weight = exp(-idleMillis / max(FORGET_MILLIS, reported * FORGET_SERVICE_TIMES))
        val forgotten = if (reported < usual * MUCH_SLOWER) usual * RETRIED_PART else usual
        return weight * reported + (1 - weight) * min(reported, forgotten)
    }

    /** Returns how long an attempt that is sent now would wait for the endpoint, in milliseconds. */
    fun waitMillis(serviceMillis: Double): Double {
        val concurrency = max(1, report?.concurrency ?: pool.concurrency)
        val backlog = inFlight + max(0.0, loadOfOthers.get()) * changeSinceReports()
        val before = max(0.0, backlog + 1 - concurrency)
        return before * serviceMillis / concurrency
    }

    /** Other processes are taken to have changed their part of the load as this one did. */
    private fun changeSinceReports(): Double = (inFlight + 1) / (usualInFlight.get() + 1)

    /** Returns by how much an endpoint that is new or has just come back is predicted to be slower. */
    fun slowStartFactor(slowStartMillis: Long, nowMillis: Long): Double {
        val age = nowMillis - warmSince
        if (age >= slowStartMillis) return 1.0
        return 1.0 + COLD_PENALTY * (1.0 - age.toDouble() / slowStartMillis)
    }

    /** The sidecar sees the attempts of all processes, so that one probe tells all of them how the endpoint does. */
    private fun followFailures(reported: Int, before: Int, limits: EjectionLimits, nowMillis: Long) {
        if (reported >= limits.failures && reported > before) {
            eject(limits, nowMillis)
        } else if (reported == 0 && before >= limits.failures) {
            failures.set(0)
            comeBack(nowMillis)
        }
    }

    private fun recordAnswer(nowMillis: Long) {
        progressAt = nowMillis
        failures.set(0)
        isProbed.set(false)
        comeBack(nowMillis)
    }

    private fun comeBack(nowMillis: Long) {
        if (ejectedUntil.getAndSet(NOT_EJECTED) != NOT_EJECTED) {
            warmSince = nowMillis
            pool.countReturn()
        }
        ejections.set(0)
    }

    private fun recordFailure(limits: EjectionLimits, nowMillis: Long) {
        progressAt = nowMillis
        isProbed.set(false)
        if (failures.incrementAndGet() >= limits.failures) eject(limits, nowMillis)
    }

    /** Begins a pause, unless one is under way. */
    private fun eject(limits: EjectionLimits, nowMillis: Long) {
        val before = ejectedUntil.get()
        if (before == NOT_EJECTED && !pool.tryCountEjection(limits.largestShare)) return
        if (nowMillis < before) return
        val pauseMillis = pause(limits)
        val isChanged = ejectedUntil.compareAndSet(before, nowMillis + pauseMillis)
        if (isChanged) {
            probeDelayMillis = (pauseMillis * spread * PROBE_SPREAD).toLong()
            ejections.incrementAndGet()
        } else if (before == NOT_EJECTED) {
            pool.countReturn()
        }
    }

    private fun pause(limits: EjectionLimits): Long {
        val doublings = min(ejections.get(), MAXIMUM_DOUBLINGS)
        return min(limits.firstPause.inWholeMilliseconds shl doublings, limits.longestPause.inWholeMilliseconds)
    }

    private fun isIdle(): Boolean = report.let { it != null && it.queued == 0 && it.running == 0 }

    private companion object {
        const val NOT_EJECTED = Long.MIN_VALUE

        /** Service time while nothing is known of a pool, in milliseconds. */
        const val UNKNOWN_SERVICE_MILLIS = 1.0
        const val LONG_AGO = Long.MIN_VALUE / 2

        /** Time constant with which the load that other processes cause is smoothed, in milliseconds. */
        const val OTHERS_MILLIS = 3_000.0

        /** Shortest time constant with which an idle endpoint's service time is forgotten, in milliseconds. */
        const val FORGET_MILLIS = 10_000.0

        /**
         * Part of the pool's service time that an idle endpoint is taken to need once its own is forgotten. Less than
         * 1, because it would otherwise get no work as long as the busy ones have no queue.
         */
        const val RETRIED_PART = 0.8

        /** From this part of the pool's service time on an endpoint is tried again only when the others have queues. */
        const val MUCH_SLOWER = 4

        /** The time constant in service times, so that trying a slow endpoint again costs a small part of its time. */
        const val FORGET_SERVICE_TIMES = 10

        /** How much longer an endpoint without warm caches is predicted to take. */
        const val COLD_PENALTY = 2.0
        const val MAXIMUM_DOUBLINGS = 10

        /** Part of a pause over which the probes of several processes are spread. */
        const val PROBE_SPREAD = 0.5
    }
}
