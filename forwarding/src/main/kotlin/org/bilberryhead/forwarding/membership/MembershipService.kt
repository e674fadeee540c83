package org.bilberryhead.forwarding.membership

import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.serving.EntryMembership
import org.bilberryhead.core.serving.EntryRecord
import org.bilberryhead.core.serving.LeaseTimings
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.ForwardingSettings
import org.bilberryhead.forwarding.store.EntryRow
import org.bilberryhead.forwarding.store.StoreWriter
import org.bilberryhead.forwarding.store.TableListener
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Keeps this entry a member and knows the other members. */
internal class MembershipService(
    settings: ForwardingSettings,
    private val thread: EventThread,
    writer: StoreWriter,
    private val decisions: DecisionLog,
    private val random: Random,
    private val wallClock: Clock = Clock.System,
    private val timings: LeaseTimings = LeaseTimings(),
) {
    private val ownRow = EntryRow(settings.dataCentre, settings.peers, settings.processorShare, random.nextLong())
    private val membership = EntryMembership(ownRow.toRecord(settings.id), timings)
    private val keeper = LeaseKeeper(settings.id, writer, thread, decisions, random) { sentAt ->
        membership.recordOwnRenewal(sentAt, wallClock.now())
    }
    private val entryListener = EntryListener(settings.id, membership, decisions, keeper::storeRestored)
    private val leaseListener = LeaseListener(membership, decisions)
    private var loggedIds = emptySet<DaemonId>()
    private var removalDueAt: Instant = thread.now()

    /** Receives the rows that entries write about themselves. */
    val entries: TableListener get() = entryListener

    /** Receives the leases of entries. */
    val leases: TableListener get() = leaseListener

    /** Time between two renewals of a lease. */
    val renewalInterval: Duration get() = timings.renewalInterval

    /** The members, including this entry. */
    val members: List<EntryRecord> get() = membership.members

    /** The ids of the members, including this entry; null when this entry does not know who shares the limits. */
    val knownIds: List<DaemonId>? get() = members.takeIf { it.size == shareCount }?.map { it.id }

    /** Whether this entry is the one that removes rows of entries that are gone. */
    val isRemover: Boolean get() = membership.isRemover

    /** Number of entries that share the limits; null when this entry has the smallest share. */
    val shareCount: Int? get() = membership.shareCount(thread.now(), wallClock.now())

    /**
     * Registers this entry and starts to renew its lease and to end the leases of others.
     *
     * @param storeAnsweredAt returns when the store last answered this entry
     */
    fun start(storeAnsweredAt: () -> Instant?) {
        keeper.register(ownRow)
        thread.every(EXPIRY_CHECK_INTERVAL) {
            storeAnsweredAt()?.let(membership::recordAnswer)
            removeExpired(membership.expire())
            logChanges()
        }
        // Entries that start together renew at different times.
        thread.after(timings.renewalInterval * random.nextDouble()) {
            keeper.renew()
            thread.every(timings.renewalInterval) { keeper.renew() }
        }
    }

    /** Registers this entry as shutting down. */
    fun leave() = keeper.register(ownRow.copy(isLeaving = true))

    /** Records the number of members that another entry knows. */
    fun recordPeerCount(count: Int) = membership.recordPeerCount(count)

    private fun removeExpired(ids: List<DaemonId>) {
        val now = thread.now()
        if (ids.isEmpty() || now < removalDueAt) return
        // The removals show in the next reading of the rows at the latest.
        removalDueAt = now + timings.renewalInterval
        ids.take(MAXIMUM_REMOVALS).forEach { id ->
            entryListener.versions.of(id)?.let { keeper.remove(id, it, leaseListener.versions.of(id)) }
        }
    }

    private fun logChanges() {
        val ids = members.mapTo(mutableSetOf()) { it.id }
        if (ids == loggedIds) return
        val joined = ids - loggedIds
        val left = loggedIds - ids
        loggedIds = ids
        decisions.write("members changed") {
            mapOf("members" to ids.size, "joined" to joined.take(LOGGED_IDS), "left" to left.take(LOGGED_IDS))
        }
    }

    private companion object {
        val EXPIRY_CHECK_INTERVAL = 1.seconds

        /** Largest number of rows that are removed in one renewal interval. */
        const val MAXIMUM_REMOVALS = 20
        const val LOGGED_IDS = 5
    }
}
