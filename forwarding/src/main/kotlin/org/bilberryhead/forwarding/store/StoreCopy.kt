package org.bilberryhead.forwarding.store

import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.membership.MembershipService
import org.bilberryhead.forwarding.peer.SnapshotMessage
import org.bilberryhead.forwarding.peer.StoreReplica
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** What this entry knows of the store's data: passed to other entries, and updated by what they know. */
internal class StoreCopy(
    private val thread: EventThread,
    private val operatorWatch: StoreTableWatch,
    private val endpointWatch: StoreTableWatch,
    private val configuration: ConfigurationListener,
    private val evacuations: EvacuationListener,
    private val endpoints: EndpointListener,
    private val membership: MembershipService,
) : StoreReplica {
    override val isStoreReachable: Boolean get() = operatorWatch.isStoreReachable && endpointWatch.isStoreReachable
    override val age: Duration? get() = endpointWatch.lastResponseAt?.let { thread.now() - it }

    /** Returns what this entry knows now. */
    fun snapshot() = SnapshotMessage(
        configuration = configuration.newestText,
        endpoints = endpoints.newestTexts,
        ageMs = age?.inWholeMilliseconds,
        members = membership.shareCount,
        evacuated = evacuations.evacuated,
        evacuatedAgeMs = evacuations.knownAt?.let { thread.now() - it }?.inWholeMilliseconds,
    )

    override fun update(snapshot: SnapshotMessage, withEndpoints: Boolean, requestedAt: Instant) {
        // Evacuations first, so that nothing is sent by the new configuration to an evacuated data centre.
        updateEvacuations(snapshot, requestedAt)
        snapshot.configuration?.let(configuration::activateIfNewer)
        snapshot.members?.let(membership::recordPeerCount)
        if (withEndpoints) endpoints.replaceFromPeer(snapshot.endpoints)
    }

    /**
     * Ignores what the peer knows while the store answers the calls for the operator's table, since a later change of
     * that table would not repeat the rows that were read before. The age counts from the request, so that a late
     * response is not taken for newer than it is.
     */
    private fun updateEvacuations(snapshot: SnapshotMessage, requestedAt: Instant) {
        if (operatorWatch.isStoreReachable) return
        val age = snapshot.evacuatedAgeMs?.takeIf { it >= 0 } ?: return
        snapshot.evacuated?.let { evacuations.replaceFromPeer(it, asOf = requestedAt - age.milliseconds) }
    }
}
