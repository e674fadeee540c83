package org.bilberryhead.core.admission

import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.message.RefusalReason
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** How a sidecar treats work when there is more than its endpoint can do. */
sealed class GatePolicy {
    /** Accepts until the queue is full and drops what has expired. */
    data object BoundedQueue : GatePolicy()

    /**
     * Accepts what its endpoint can finish in time, and puts accounts that are over their share behind the others.
     *
     * @property waitShare part of the remaining time that an attempt may be predicted to wait
     * @property overShareCapacity part of the queue that accounts over their share may fill
     */
    data class DeadlineAware(val waitShare: Double = 0.8, val overShareCapacity: Double = 0.75) : GatePolicy()
}

/**
 * What an arriving attempt finds at its endpoint.
 *
 * @property ahead waiting attempts that start before it
 * @property running attempts that the endpoint works on
 * @property queued waiting attempts in total
 * @property capacity attempts that may wait
 * @property concurrency attempts that the endpoint may work on at once
 */
data class GateOccupancy(val ahead: Int, val running: Int, val queued: Int, val capacity: Int, val concurrency: Int)

/** Decides which attempts one sidecar accepts and which waiting ones are dropped. Not safe for several threads. */
class GateAdmission(private val policy: GatePolicy = GatePolicy.DeadlineAware()) {
    private val service = ServiceTimeEstimator()
    private val limiter = ConcurrencyLimiter()
    private val shares = FairShares()

    /** Smoothed service time in milliseconds; 0 before the first answer. */
    val serviceMillis: Double get() = service.meanMillis

    /** Adds the service time of an attempt that was answered, in milliseconds. */
    fun recordService(millis: Double) {
        service.record(millis)
        limiter.record(service.meanMillis)
    }

    /** Takes that an attempt was cancelled after [millis], before it was answered. */
    fun recordCancelled(millis: Double) = service.recordAtLeast(millis)

    /** Returns how many attempts the endpoint may work on at once under a configured [concurrency]. */
    fun concurrency(concurrency: Int): Int = when (policy) {
        GatePolicy.BoundedQueue -> concurrency
        is GatePolicy.DeadlineAware -> limiter.limit(concurrency)
    }

    /** Returns the queue rank of an attempt of [account]: 0 within its share, 1 over it. */
    fun rankOf(account: ClientAccount, now: Instant): Int = when (policy) {
        GatePolicy.BoundedQueue -> 0
        is GatePolicy.DeadlineAware -> if (shares.isOverShare(account, now)) OVER_SHARE else WITHIN_SHARE
    }

    /** Counts an arriving attempt of [account]. */
    fun recordArrival(account: ClientAccount, now: Instant) = shares.recordDemand(account, now)

    /** Counts an attempt that is given to the endpoint. */
    fun recordStart(now: Instant) = shares.recordServed(now)

    /** Returns why an attempt of [rank] with [remaining] time is refused, or null when it is accepted. */
    fun refusalFor(rank: Int, remaining: Duration, occupancy: GateOccupancy): RefusalReason? = when (policy) {
        GatePolicy.BoundedQueue -> if (occupancy.queued >= occupancy.capacity) RefusalReason.QUEUE_FULL else null
        is GatePolicy.DeadlineAware -> refusalFor(policy, rank, remaining, occupancy)
    }

    private fun refusalFor(
        policy: GatePolicy.DeadlineAware,
        rank: Int,
        remaining: Duration,
        occupancy: GateOccupancy,
    ): RefusalReason? {
        val overShareCapacity = occupancy.capacity * policy.overShareCapacity
        val wait = predictedWait(occupancy)
        val isLate = wait > remaining * policy.waitShare || wait + needed > remaining
        if (isLate && occupancy.running == 0 && occupancy.queued == 0) service.relax()
        return when {
            occupancy.queued >= occupancy.capacity -> RefusalReason.QUEUE_FULL
            rank == OVER_SHARE && occupancy.queued >= overShareCapacity -> RefusalReason.ACCOUNT_OVER_SHARE
            !isLate -> null
            rank == OVER_SHARE -> RefusalReason.ACCOUNT_OVER_SHARE
            else -> RefusalReason.DEADLINE_UNREACHABLE
        }
    }

    /** Returns when an attempt that is due at [deadline] must start at the latest. */
    fun latestStart(deadline: Instant): Instant = when (policy) {
        GatePolicy.BoundedQueue -> deadline
        is GatePolicy.DeadlineAware -> deadline - needed
    }

    /** Returns when a place may be free behind [queued] waiting attempts, in milliseconds. */
    fun drainMillis(queued: Int, concurrency: Int): Long = ((queued + 1) * serviceMillis / concurrency).toLong()

    private fun predictedWait(occupancy: GateOccupancy): Duration {
        val beforeIt = occupancy.ahead + occupancy.running + 1 - occupancy.concurrency
        if (beforeIt <= 0) return Duration.ZERO
        return (beforeIt * service.meanMillis / occupancy.concurrency).milliseconds
    }

    private val needed: Duration get() = service.lateMillis.milliseconds

    private companion object {
        const val WITHIN_SHARE = 0
        const val OVER_SHARE = 1
    }
}
