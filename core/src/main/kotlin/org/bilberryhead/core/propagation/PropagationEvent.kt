package org.bilberryhead.core.propagation

import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.message.Snapshot
import org.bilberryhead.core.tables.TableChange
import org.bilberryhead.core.tables.Tables
import kotlin.time.Instant

/** Identifies one open connection to another process; unique within this process. */
@JvmInline
value class LinkId(val value: String) {
    override fun toString(): String = value
}

/**
 * Result of reading the log after a version.
 *
 * @property head newest version in the log
 * @property snapshot full tables, if they were read in place of a long sequence of changes
 * @property changes changes that follow [snapshot], or the requested version if there is no snapshot
 */
data class LogPage(val head: TableVersion, val snapshot: Snapshot? = null, val changes: List<TableChange> = emptyList())

/** Input of a [TablePropagation]. */
sealed interface PropagationEvent {
    /** The timer set by the last [PropagationAction.StartTimer] is due, or the process has just started. */
    data object TimerDue : PropagationEvent

    /** A read of the log after version [after] returned [page]. */
    data class LogRead(val after: TableVersion, val page: LogPage) : PropagationEvent

    /** A read of the log failed; [detail] gives the reason. */
    data class LogReadFailed(val detail: String) : PropagationEvent

    /**
     * A change that this process proposed is confirmed to be in the log. A change whose outcome is unknown must not be
     * reported as committed: if this process applied it and it were absent from the log, it would conflict with the
     * change that gets the same version later.
     */
    data class Committed(val change: TableChange) : PropagationEvent

    /** [daemon] reported on [link] the [version] that it holds. */
    data class VersionReported(val link: LinkId, val daemon: DaemonId, val version: TableVersion) : PropagationEvent

    /** [link] was closed. */
    data class LinkClosed(val link: LinkId) : PropagationEvent

    /** The process at the other end of [link] requested the changes that follow version [after]. */
    data class ChangesRequested(val link: LinkId, val after: TableVersion) : PropagationEvent

    /** The process at the other end of [link] sent [changes]. */
    data class ChangesReceived(val link: LinkId, val changes: List<TableChange>) : PropagationEvent

    /** The process at the other end of [link] sent the full tables. */
    data class SnapshotReceived(val link: LinkId, val snapshot: Snapshot) : PropagationEvent
}

/** What a [TablePropagation] requests of its process. */
sealed interface PropagationAction {
    /** Read the log after version [after]; must be followed by one [PropagationEvent.LogRead] or `LogReadFailed`. */
    data class ReadLog(val after: TableVersion) : PropagationAction

    /** Report [PropagationEvent.TimerDue] at [at]. Replaces the previous timer. */
    data class StartTimer(val at: Instant) : PropagationAction

    /** Send [message] on [link]; the message may be lost. */
    data class Send(val link: LinkId, val message: Message) : PropagationAction

    /** Make [tables] the current tables of this process. */
    data class PublishTables(val tables: Tables) : PropagationAction

    /** Report the change that made [version] as accepted; [holderCount] other live processes are known to hold it. */
    data class ReportAccepted(val version: TableVersion, val holderCount: Int) : PropagationAction

    /** Write the full tables to the object store, so that a starting process does not have to read the whole log. */
    data class StoreSnapshot(val snapshot: Snapshot) : PropagationAction

    /** Log that an invariant is violated, as [detail] describes. */
    data class ReportInvariantViolation(val detail: String) : PropagationAction
}

/** State that this process keeps for another process while a connection between them is open. */
internal class ConnectedProcess(var version: TableVersion) {
    /** Open connections to the process; the last is the one on which it reported its version most recently. */
    val links = LinkedHashSet<LinkId>()

    /** The version that was last sent to the process, and when. */
    var sentVersion = TableVersion.NONE
    var sentAt = Instant.DISTANT_PAST

    /** When this process last requested newer tables from it. */
    var requestedAt = Instant.DISTANT_PAST

    fun recordVersion(link: LinkId, version: TableVersion) {
        links.remove(link)
        links.add(link)
        this.version = version
    }
}
