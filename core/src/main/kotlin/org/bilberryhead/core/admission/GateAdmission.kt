package org.bilberryhead.core.admission

import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.message.RefusalReason
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** The rules by which a [GateAdmission] accepts and refuses attempts when the endpoint is overloaded. */
sealed class GateAdmissionPolicy {
    /** Accepts attempts until the queue is full and drops those whose deadline has passed. */
    data object BoundedQueue : GateAdmissionPolicy()

    /**
     * Accepts attempts that the endpoint can finish in time, and queues those of accounts over their share behind the
     * others.
     *
     * @property waitShare share of the remaining time that an attempt may be predicted to wait
     * @property overShareCapacity share of the queue that accounts over their share may fill
     */
    data class DeadlineAware(val waitShare: Double = 0.8, val overShareCapacity: Double = 0.75) : GateAdmissionPolicy()
}

/**
 * The load of an endpoint when an attempt arrives, as input of [GateAdmission.refusalFor]. Unlike a load report, it
 * also counts the attempts that would start before the new one.
 *
 * @property ahead waiting attempts that start before it
 * @property running attempts that the endpoint runs
 * @property queued waiting attempts in total
 * @property capacity maximum number of waiting attempts
 * @property concurrency maximum number of attempts that the endpoint runs concurrently
 */
data class GateOccupancy(val ahead: Int, val running: Int, val queued: Int, val capacity: Int, val concurrency: Int)

/**
 * Decides, with a [GateAdmissionPolicy] and the measured service times, which attempts one sidecar accepts, how many
 * run concurrently, and when waiting ones are dropped. Not thread-safe.
 */
class GateAdmission(private val policy: GateAdmissionPolicy = GateAdmissionPolicy.DeadlineAware()) {
    private val service = ServiceTimeEstimator()
    private val limiter = ConcurrencyLimiter()
    private val shares = FairShares()

    /** Smoothed service time in milliseconds; 0 before the first response. */
    val serviceMillis: Double get() = service.meanMillis

    /** Adds the service time of an attempt that got a response, in milliseconds. */
    fun recordService(millis: Double) {
        service.record(millis)
        limiter.record(service.meanMillis)
    }

    /** Records that an attempt was cancelled [millis] milliseconds after its start, before its response. */
    fun recordCancelled(millis: Double) = service.recordAtLeast(millis)

    /** Returns how many attempts the endpoint may run concurrently for a configured [concurrency]. */
    fun concurrency(concurrency: Int): Int = when (policy) {
        GateAdmissionPolicy.BoundedQueue -> concurrency
        is GateAdmissionPolicy.DeadlineAware -> limiter.limit(concurrency)
    }

    /** Returns the queue rank of an attempt of [account]: 0 within its share, 1 over it. */
    fun rankOf(account: ClientAccount, now: Instant): Int = when (policy) {
        GateAdmissionPolicy.BoundedQueue -> 0
        is GateAdmissionPolicy.DeadlineAware -> if (shares.isOverShare(account, now)) OVER_SHARE else WITHIN_SHARE
    }

    /** Counts an arriving attempt of [account]. */
    fun recordArrival(account: ClientAccount, now: Instant) = shares.recordDemand(account, now)

    /** Counts an attempt that is sent to the endpoint. */
    fun recordStart(now: Instant) = shares.recordServed(now)

    /** Returns the reason to refuse an attempt of [rank] with [remaining] time, or null when it is accepted. */
    fun refusalFor(rank: Int, remaining: Duration, occupancy: GateOccupancy): RefusalReason? = when (policy) {
        GateAdmissionPolicy.BoundedQueue ->
            if (occupancy.queued >= occupancy.capacity) RefusalReason.QUEUE_FULL else null
        is GateAdmissionPolicy.DeadlineAware -> refusalFor(policy, rank, remaining, occupancy)
    }

    private fun refusalFor(
        policy: GateAdmissionPolicy.DeadlineAware,
        rank: Int,
        remaining: Duration,
        occupancy: GateOccupancy,
    ): RefusalReason? {
        val overShareCapacity = occupancy.capacity * policy.overShareCapacity
        val wait = predictedWait(occupancy)
        val isLate = wait > remaining * policy.waitShare || wait + reservedServiceTime > remaining
        if (isLate && occupancy.running == 0 && occupancy.queued == 0) service.relax()
        return when {
            occupancy.queued >= occupancy.capacity -> RefusalReason.QUEUE_FULL
            rank == OVER_SHARE && occupancy.queued >= overShareCapacity -> RefusalReason.ACCOUNT_OVER_SHARE
            !isLate -> null
            rank == OVER_SHARE -> RefusalReason.ACCOUNT_OVER_SHARE
            else -> RefusalReason.DEADLINE_UNREACHABLE
        }
    }

    /** Returns the latest time at which an attempt with [deadline] must start. */
    fun latestStart(deadline: Instant): Instant = when (policy) {
        GateAdmissionPolicy.BoundedQueue -> deadline
        is GateAdmissionPolicy.DeadlineAware -> deadline - reservedServiceTime
    }

    /** Returns the estimated time until the endpoint has finished [queued] waiting attempts, in milliseconds. */
    fun drainMillis(queued: Int, concurrency: Int): Long = ((queued + 1) * serviceMillis / concurrency).toLong()

    private fun predictedWait(occupancy: GateOccupancy): Duration {
        val attemptsAhead = occupancy.ahead + occupancy.running + 1 - occupancy.concurrency
        if (attemptsAhead <= 0) return Duration.ZERO
        return (attemptsAhead * service.meanMillis / occupancy.concurrency).milliseconds
    }

    private val reservedServiceTime: Duration get() = service.p90Millis.milliseconds

    private companion object {
        const val WITHIN_SHARE = 0
        const val OVER_SHARE = 1
    }
}
