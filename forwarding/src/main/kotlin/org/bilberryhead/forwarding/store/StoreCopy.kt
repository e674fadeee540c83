package org.bilberryhead.forwarding.store

import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.membership.MembershipService
import org.bilberryhead.forwarding.peer.SnapshotMessage
import org.bilberryhead.forwarding.peer.StoreReplica
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

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

    override fun update(snapshot: SnapshotMessage, withEndpoints: Boolean) {
        // Evacuations first, so that nothing is sent by the new configuration to an evacuated data centre.
        updateEvacuations(snapshot)
        snapshot.configuration?.let(configuration::activateIfNewer)
        snapshot.members?.let(membership::recordPeerCount)
        if (withEndpoints) endpoints.replaceFromPeer(snapshot.endpoints)
    }

    private fun updateEvacuations(snapshot: SnapshotMessage) {
        val age = snapshot.evacuatedAgeMs?.takeIf { it >= 0 } ?: return
        snapshot.evacuated?.let { evacuations.replaceFromPeer(it, asOf = thread.now() - age.milliseconds) }
    }
}
