package org.bilberryhead.core.propagation

import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.message.Snapshot
import org.bilberryhead.core.tables.TableChange
import org.bilberryhead.core.tables.Tables
import kotlin.time.Instant

/** Names one open connection to another process, within this process. */
@JvmInline
value class LinkId(val value: String) {
    override fun toString(): String = value
}

/**
 * What the log held beyond the version that was asked for.
 *
 * @property head the newest version in the log
 * @property snapshot whole tables, when they were read in place of a long run of changes
 * @property changes changes that follow [snapshot], or the version that was asked for
 */
data class LogPage(val head: TableVersion, val snapshot: Snapshot? = null, val changes: List<TableChange> = emptyList())

/** What happens to a [TablePropagation]. */
sealed interface PropagationEvent {
    /** The time of the last [PropagationAction.StartTimer] has come, or the process has just started. */
    data object TimerDue : PropagationEvent

    /** What the log held after [after] when it was read. */
    data class LogRead(val after: TableVersion, val page: LogPage) : PropagationEvent

    /** A read of the log failed. */
    data class LogReadFailed(val detail: String) : PropagationEvent

    /**
     * A change that this process proposed is confirmed to be in the log. A change whose outcome is unknown never
     * comes as this event: in force here and absent from the log, it would contradict the change that takes its
     * version later.
     */
    data class Committed(val change: TableChange) : PropagationEvent

    /** [daemon] showed on [link] which version it holds. */
    data class VersionReported(val link: LinkId, val daemon: DaemonId, val version: TableVersion) : PropagationEvent

    /** [link] is closed. */
    data class LinkClosed(val link: LinkId) : PropagationEvent

    /** The process behind [link] asks for what follows [after]. */
    data class FetchReceived(val link: LinkId, val after: TableVersion) : PropagationEvent

    /** The process behind [link] sent [changes]. */
    data class ChangesReceived(val link: LinkId, val changes: List<TableChange>) : PropagationEvent

    /** The process behind [link] sent whole tables. */
    data class SnapshotReceived(val link: LinkId, val snapshot: Snapshot) : PropagationEvent
}

/** What a [TablePropagation] wants done. */
sealed interface PropagationAction {
    /** Read what the log holds after [after]; answered with one event. */
    data class ReadLog(val after: TableVersion) : PropagationAction

    /** Send [PropagationEvent.TimerDue] at [at]; replaces the former time. */
    data class StartTimer(val at: Instant) : PropagationAction

    /** Send [message] on [link]; it may be lost. */
    data class Send(val link: LinkId, val message: Message) : PropagationAction

    /** Publish [tables] to the traffic. */
    data class PublishTables(val tables: Tables) : PropagationAction

    /** The change that made [version] counts as accepted; [holders] other live processes are known to hold it. */
    data class Accept(val version: TableVersion, val holders: Int) : PropagationAction

    /** Write whole tables to the object store, so that a starting process need not read the whole log. */
    data class StoreSnapshot(val snapshot: Snapshot) : PropagationAction

    /** An invariant does not hold; [detail] is for the log. */
    data class ReportInvariantViolation(val detail: String) : PropagationAction
}

/** A running process that this one has a connection to. */
internal class Neighbour(var version: TableVersion) {
    /** Open connections to the process; the last is the one that carried its newest sign of life. */
    val links = LinkedHashSet<LinkId>()

    /** The version that was last sent to the process, and when. */
    var offered = TableVersion.NONE
    var offeredAt = Instant.DISTANT_PAST

    /** When the process was last asked for its newer tables. */
    var askedAt = Instant.DISTANT_PAST

    fun shown(link: LinkId, version: TableVersion) {
        links.remove(link)
        links.add(link)
        this.version = version
    }
}
