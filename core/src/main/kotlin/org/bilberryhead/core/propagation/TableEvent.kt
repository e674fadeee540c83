package org.bilberryhead.core.propagation

import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.message.Changes
import org.bilberryhead.core.message.FetchChanges
import org.bilberryhead.core.message.Heartbeat
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.message.Snapshot

/** Returns the event that [message], received on [link] from [daemon], stands for; null when it is not about tables. */
fun tableEvent(link: LinkId, daemon: DaemonId, message: Message): PropagationEvent? = when (message) {
    is Heartbeat -> PropagationEvent.VersionShown(link, daemon, message.tableVersion)
    is FetchChanges -> PropagationEvent.FetchArrived(link, message.after)
    is Changes -> PropagationEvent.ChangesArrived(link, message.changes)
    is Snapshot -> PropagationEvent.SnapshotArrived(link, message)
    else -> null
}
