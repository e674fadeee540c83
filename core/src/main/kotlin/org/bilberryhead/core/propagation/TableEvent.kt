package org.bilberryhead.core.propagation

import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.message.Changes
import org.bilberryhead.core.message.FetchChanges
import org.bilberryhead.core.message.Heartbeat
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.message.Snapshot

/** Returns the event for [message], received on [link] from [daemon], or null if it does not concern the tables. */
fun tableEvent(link: LinkId, daemon: DaemonId, message: Message): PropagationEvent? = when (message) {
    is Heartbeat -> PropagationEvent.VersionReported(link, daemon, message.tableVersion)
    is FetchChanges -> PropagationEvent.ChangesRequested(link, message.after)
    is Changes -> PropagationEvent.ChangesReceived(link, message.changes)
    is Snapshot -> PropagationEvent.SnapshotReceived(link, message)
    else -> null
}
