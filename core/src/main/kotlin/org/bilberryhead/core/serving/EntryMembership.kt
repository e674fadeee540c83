package org.bilberryhead.core.serving

import org.bilberryhead.core.common.DaemonId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Timings of the leases by which entries are members.
 *
 * @property renewalInterval time between two renewals of an entry's own lease
 * @property expiry time without a renewal after which an entry is no longer a member
 * @property leavingExpiry time after which an entry that is shutting down is no longer a member
 * @property registrationPeriod time in which an entry writes its row again after the store has lost it; longer than a
 *   renewal interval, as an entry may learn of the loss by its renewal
 */
data class LeaseTimings(
    val renewalInterval: Duration = 1.minutes,
    val expiry: Duration = 10.minutes,
    val leavingExpiry: Duration = 30.seconds,
    val registrationPeriod: Duration = renewalInterval * 2,
)

/**
 * Decides which entries are members, that is, share the limits of the deployment and can coordinate pools.
 *
 * Designed for fleets of hundreds of entries whose VMs are replaced over weeks. Each entry holds a lease: a row in the
 * store that it changes at intervals. Clocks are not compared: an entry measures how long it has seen a lease
 * unchanged, and counts only the time in which the store answered it. So neither an outage of the store nor a freeze of
 * this entry ends a lease. An entry that could not renew its own lease for too long does not know whether the others
 * still count it; it then has the smallest share of the limits.
 *
 * @param own the record of this entry, which is always a member
 */
class EntryMembership(private val own: EntryRecord, private val timings: LeaseTimings = LeaseTimings()) {
    private class Lease(var record: EntryRecord, var changedAt: Duration) {
        var renewal: Long? = null

        /** Since when the row has been missing from a store that has come back from a copy; null when it is listed. */
        var missingSince: Duration? = null
    }

    private val leases = mutableMapOf<DaemonId, Lease>()
    private var hasReadEntries = false
    private var peerCount: Int? = null
    private var observedTime = Duration.ZERO
    private var answeredAt: Instant? = null
    private var ownRenewal: OwnRenewal? = null

    private class OwnRenewal(val at: Instant, val wallTime: Instant)

    /** The members, including this entry. */
    var members: List<EntryRecord> = listOf(own)
        private set

    /** Whether this entry is the only one of the members that removes rows. */
    val isRemover: Boolean get() = members.minOf { it.id } == own.id

    /** Records that the store answered a call of this entry at [now]. */
    fun recordAnswer(now: Instant) {
        val elapsed = answeredAt?.let { now - it } ?: Duration.ZERO
        observedTime += elapsed.coerceAtMost(MAXIMUM_ANSWER_GAP)
        answeredAt = now
    }

    /**
     * Replaces what is known by [records], the rows of all entries. When they are [isRestored] from a copy, the entries
     * whose rows are missing stay members until they had the time to register again.
     */
    fun replaceEntries(records: List<EntryRecord>, isRestored: Boolean = false) {
        hasReadEntries = true
        val listed = records.mapTo(mutableSetOf()) { it.id }
        val missing = leases.filterKeys { it !in listed }
        if (isRestored) missing.values.forEach { it.missingSince = it.missingSince ?: observedTime }
        leases.keys.removeAll(missing.filterValues { it.missingSince == null }.keys)
        updateEntries(records)
    }

    /** Records the new or changed rows of entries, and that the rows of [removed] are gone. */
    fun updateEntries(records: List<EntryRecord>, removed: Collection<DaemonId> = emptyList()) {
        leases.keys.removeAll(removed.toSet())
        records.filter { it.id != own.id }.forEach(::updateEntry)
        updateMembers()
    }

    private fun updateEntry(record: EntryRecord) {
        val lease = leases.getOrPut(record.id) { Lease(record, observedTime) }
        lease.missingSince = null
        // An earlier row of the same run may be read later.
        val isLeaving = record.isLeaving || (lease.record.isLeaving && lease.record.incarnation == record.incarnation)
        val current = record.copy(isLeaving = isLeaving)
        if (lease.record == current) return
        lease.record = current
        lease.changedAt = observedTime
    }

    /**
     * Records the numbers that entries wrote with their latest renewals. Those that are [isRestored] from a copy may be
     * earlier ones, so that a difference is no renewal.
     */
    fun updateLeases(renewals: Map<DaemonId, Long>, isRestored: Boolean = false) {
        for ((id, renewal) in renewals) {
            val lease = leases[id] ?: continue
            if (lease.renewal != renewal && !isRestored) lease.changedAt = observedTime
            lease.renewal = renewal
        }
        updateMembers()
    }

    /** Records that this entry's own lease was renewed by a call that was sent at [sentAt]. */
    fun recordOwnRenewal(sentAt: Instant, wallTime: Instant) {
        ownRenewal = OwnRenewal(sentAt, wallTime)
    }

    /**
     * Records the number of members that another entry knows, for the time until this entry has read the rows. Ignores
     * one that is not plausible.
     */
    fun recordPeerCount(count: Int) {
        if (count in PLAUSIBLE_COUNTS) peerCount = count
    }

    /**
     * Ends the leases that were not renewed in time, and returns their entries whose rows this entry should remove from
     * the store. Only one of the members removes rows.
     */
    fun expire(): List<DaemonId> {
        leases.values.removeAll { lease ->
            lease.missingSince?.let { observedTime - it > timings.registrationPeriod } ?: false
        }
        updateMembers()
        return if (isRemover) leases.filterValues { isExpired(it) }.keys.toList() else emptyList()
    }

    /**
     * Returns the number of entries that share the limits, or null when this entry has the smallest share: it has not
     * learnt the number yet, or its own lease may have ended for the others.
     *
     * @param wallTime the time of day, which goes on while the VM is suspended; the clock of [now] stands still then
     */
    fun shareCount(now: Instant, wallTime: Instant): Int? {
        if (!hasReadEntries) return peerCount?.plus(1)
        val renewal = ownRenewal ?: return null
        val isOverdue = now - renewal.at > timings.expiry - timings.renewalInterval
        val wasSuspended = (wallTime - renewal.wallTime) - (now - renewal.at) > MAXIMUM_CLOCK_STEP
        return if (isOverdue || wasSuspended) null else members.size
    }

    private fun isExpired(lease: Lease): Boolean {
        val limit = if (lease.record.isLeaving) timings.leavingExpiry else timings.expiry
        return observedTime - lease.changedAt > limit
    }

    private fun updateMembers() {
        val current = leases.values.filterNot(::isExpired).map { it.record } + own
        if (current.size != members.size || current.toSet() != members.toSet()) members = current
    }

    private companion object {
        /** The store is polled more often than this, so a longer gap is an outage or a freeze. */
        val MAXIMUM_ANSWER_GAP = 5.seconds

        /** The time of day may be set by a few seconds; a larger difference is taken for a suspended VM. */
        val MAXIMUM_CLOCK_STEP = 60.seconds

        /** Numbers of entries that share the limits; far below the range of an integer. */
        val PLAUSIBLE_COUNTS = 1..1_000_000
    }
}
