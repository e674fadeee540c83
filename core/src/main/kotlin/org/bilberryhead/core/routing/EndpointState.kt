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
 * The state that one process keeps of one endpoint: load, service time and failures. Thread-safe without locks. Times
 * are milliseconds since the epoch.
 *
 * @property pool the pool that the endpoint belongs to
 * @param probeJitter between 0 and 1; delays the probes of this process, so that processes probe at different times
 */
internal class EndpointState(val pool: PoolState, nowMillis: Long, private val probeJitter: Double = 0.0) {
    private val attemptsInFlight = AtomicInteger()
    private val loadFromOthers = AtomicDouble()
    private val smoothedInFlight = AtomicDouble()
    private val failures = AtomicInteger()
    private val ejections = AtomicInteger()
    private val ejectedUntil = AtomicLong(NOT_EJECTED)
    private val incarnation = AtomicReference<String?>()
    private val isProbeInFlight = AtomicBoolean()

    @Volatile
    private var report: LoadReport? = null

    @Volatile
    private var reportedAt = nowMillis

    @Volatile
    private var probeDelayMillis = 0L

    /** Whether every failure since the last answer was a refusal, after which the work has not run. */
    @Volatile
    private var hasOnlyRefused = false

    @Volatile
    private var progressAt = nowMillis

    @Volatile
    private var warmupStartedAt = if (pool.isStarting(nowMillis)) LONG_AGO else nowMillis

    /** Attempts sent from this process that have not ended. */
    val inFlight: Int get() = attemptsInFlight.get()

    /** Whether the endpoint gets no work except probes. */
    val isEjected: Boolean get() = ejectedUntil.get() != NOT_EJECTED

    /** Counts an attempt sent to the endpoint. */
    fun recordDispatch(nowMillis: Long) {
        // Set before the count increases as well, so that no other thread counts the idle time as a lack of progress.
        if (attemptsInFlight.get() == 0) progressAt = nowMillis
        if (attemptsInFlight.getAndIncrement() == 0) progressAt = nowMillis
    }

    /** Counts the end of an attempt. */
    fun recordEnd(result: AttemptResult, limits: EjectionLimits, nowMillis: Long) {
        attemptsInFlight.updateAndGet { max(0, it - 1) }
        when (result) {
            AttemptResult.ANSWERED -> recordAnswer(nowMillis)
            AttemptResult.FAILED -> recordFailure(isRefusal = false, limits, nowMillis)
            AttemptResult.REFUSED ->
                if (isIdle()) recordFailure(isRefusal = true, limits, nowMillis) else isProbeInFlight.set(false)
            AttemptResult.ABANDONED -> isProbeInFlight.set(false)
        }
    }

    /** Resets load and failures when the sidecar has restarted, so that its incarnation is now [current]. */
    fun resetOnRestart(current: Incarnation, nowMillis: Long) {
        val previous = incarnation.get()
        if (previous == current.value || !incarnation.compareAndSet(previous, current.value) || previous == null) return
        failures.set(0)
        report = null
        loadFromOthers.set(0.0)
        isProbeInFlight.set(false)
        reinstate(nowMillis)
    }

    /** Records a load report. The load that other processes cause is smoothed, because reports are delayed. */
    fun recordLoad(load: LoadReport, limits: EjectionLimits, nowMillis: Long) {
        recordReportedFailures(load.failures, report?.failures ?: 0, limits, nowMillis)
        val others = (load.queued + load.running - inFlight).toDouble()
        val weight = if (report == null) 1.0 else 1 - exp(-(nowMillis - reportedAt) / LOAD_SMOOTHING_MILLIS)
        loadFromOthers.update { it + weight * (others - it) }
        smoothedInFlight.update { it + weight * (inFlight - it) }
        report = load
        reportedAt = nowMillis
    }

    /**
     * Claims the probe of an ejected endpoint if it is due and none is in flight. If true, the caller must send it.
     *
     * @param mayRepeat whether the work can be repeated. Work that cannot might be lost. It probes an endpoint that has
     *   only refused, as other work does, but one that has failed only after [EjectionLimits.maximumEjectionTime]
     *   more. Without that, a pool that gets no other work would never use the endpoint again.
     */
    fun tryProbe(mayRepeat: Boolean, limits: EjectionLimits, nowMillis: Long): Boolean {
        val isSafe = mayRepeat || hasOnlyRefused
        val extraMillis = if (isSafe) 0 else limits.maximumEjectionTime.inWholeMilliseconds
        return nowMillis >= ejectedUntil.get() + probeDelayMillis + extraMillis &&
            isProbeInFlight.compareAndSet(false, true)
    }

    /** Returns the expected service time in milliseconds. */
    fun serviceMillis(nowMillis: Long): Double {
        val poolMillis = max(pool.serviceMillis, UNKNOWN_SERVICE_MILLIS)
        val reported = report?.serviceMillis?.takeIf { it > 0.0 } ?: poolMillis
        // Read before progressAt, which a dispatch sets before it increases the count.
        val isWorking = inFlight > 0
        val idleMillis = max(0L, nowMillis - progressAt)
        if (isWorking) return max(reported, idleMillis.toDouble())
        val weight = exp(-idleMillis / max(MINIMUM_DECAY_MILLIS, reported * DECAY_SERVICE_TIMES))
        val decayed = if (reported < poolMillis * MUCH_SLOWER_FACTOR) poolMillis * RETRY_SERVICE_RATIO else poolMillis
        return weight * reported + (1 - weight) * min(reported, decayed)
    }

    /** Returns how long an attempt that is sent now would wait for the endpoint, in milliseconds. */
    fun waitMillis(serviceMillis: Double): Double {
        val concurrency = max(1, report?.concurrency ?: pool.concurrency)
        val backlog = inFlight + max(0.0, loadFromOthers.get()) * loadChangeFactor()
        val attemptsAhead = max(0.0, backlog + 1 - concurrency)
        return attemptsAhead * serviceMillis / concurrency
    }

    /** Factor by which the load from other processes has changed, assumed to be the same as that of this process. */
    private fun loadChangeFactor(): Double = (inFlight + 1) / (smoothedInFlight.get() + 1)

    /** Returns the factor by which a new or recently reinstated endpoint is predicted to be slower. */
    fun slowStartFactor(slowStartMillis: Long, nowMillis: Long): Double {
        val age = nowMillis - warmupStartedAt
        if (age >= slowStartMillis) return 1.0
        return 1.0 + COLD_PENALTY * (1.0 - age.toDouble() / slowStartMillis)
    }

    /**
     * Ejects or reinstates the endpoint according to the failures that its sidecar reports. They include those of
     * the attempts of all processes, so that a probe by one process informs all of them.
     */
    private fun recordReportedFailures(reported: Int, previous: Int, limits: EjectionLimits, nowMillis: Long) {
        if (reported >= limits.consecutiveFailures && reported > previous) {
            hasOnlyRefused = false
            eject(limits, nowMillis)
        } else if (reported == 0 && previous >= limits.consecutiveFailures) {
            failures.set(0)
            reinstate(nowMillis)
        }
    }

    private fun recordAnswer(nowMillis: Long) {
        progressAt = nowMillis
        failures.set(0)
        isProbeInFlight.set(false)
        reinstate(nowMillis)
    }

    private fun reinstate(nowMillis: Long) {
        if (ejectedUntil.getAndSet(NOT_EJECTED) != NOT_EJECTED) {
            warmupStartedAt = nowMillis
            pool.countReinstatement()
        }
        ejections.set(0)
    }

    private fun recordFailure(isRefusal: Boolean, limits: EjectionLimits, nowMillis: Long) {
        hasOnlyRefused = isRefusal && (hasOnlyRefused || failures.get() == 0)
        progressAt = nowMillis
        isProbeInFlight.set(false)
        if (failures.incrementAndGet() >= limits.consecutiveFailures) eject(limits, nowMillis)
    }

    /** Ejects the endpoint, or ejects it again when the time until its probe has passed. */
    private fun eject(limits: EjectionLimits, nowMillis: Long) {
        val previous = ejectedUntil.get()
        if (previous == NOT_EJECTED && !pool.tryCountEjection(limits.maximumEjectedShare)) return
        if (nowMillis < previous) return
        val durationMillis = ejectionMillis(limits)
        val isChanged = ejectedUntil.compareAndSet(previous, nowMillis + durationMillis)
        if (isChanged) {
            probeDelayMillis = (durationMillis * probeJitter * PROBE_SPREAD).toLong()
            ejections.incrementAndGet()
        } else if (previous == NOT_EJECTED) {
            pool.countReinstatement()
        }
    }

    private fun ejectionMillis(limits: EjectionLimits): Long {
        val doublings = min(ejections.get(), MAXIMUM_DOUBLINGS)
        return min(
            limits.baseEjectionTime.inWholeMilliseconds shl doublings,
            limits.maximumEjectionTime.inWholeMilliseconds,
        )
    }

    private fun isIdle(): Boolean = report.let { it != null && it.queued == 0 && it.running == 0 }

    private companion object {
        const val NOT_EJECTED = Long.MIN_VALUE

        /** Service time while nothing is known of a pool, in milliseconds. */
        const val UNKNOWN_SERVICE_MILLIS = 1.0
        const val LONG_AGO = Long.MIN_VALUE / 2

        /** Time constant with which the load that other processes cause is smoothed, in milliseconds. */
        const val LOAD_SMOOTHING_MILLIS = 3_000.0

        /** Shortest time constant with which an idle endpoint's service time decays, in milliseconds. */
        const val MINIMUM_DECAY_MILLIS = 10_000.0

        /**
         * Share of the pool's service time that an idle endpoint is assumed to need once its own has decayed. Less than
         * 1, because it would otherwise get no work as long as the busy endpoints have no queue.
         */
        const val RETRY_SERVICE_RATIO = 0.8

        /** An endpoint slower than the pool by this factor is tried again only when the other endpoints have queues. */
        const val MUCH_SLOWER_FACTOR = 4

        /** Decay time constant in service times; long, so that retries of a slow endpoint take little of its time. */
        const val DECAY_SERVICE_TIMES = 10

        /** Additional time that an endpoint without warm caches is predicted to take, in service times. */
        const val COLD_PENALTY = 2.0
        const val MAXIMUM_DOUBLINGS = 10

        /** Share of the ejection time over which the probes of several processes are spread. */
        const val PROBE_SPREAD = 0.5
    }
}
