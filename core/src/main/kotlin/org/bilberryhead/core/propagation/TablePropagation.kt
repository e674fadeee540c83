package org.bilberryhead.core.propagation

import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.message.FetchChanges
import org.bilberryhead.core.message.Heartbeat
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.tables.TableChange
import org.bilberryhead.core.tables.Tables
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Timings and limits of a [TablePropagation].
 *
 * @property pollInterval delay between two reads of the log, multiplied by a random factor from 0.75 to 1.25
 * @property maximumPollInterval maximum delay between two reads while the store does not respond, multiplied likewise
 * @property resendInterval time after which a message to another process is sent again if no response arrived
 * @property acceptanceTimeout maximum time that a committed change waits for another process to hold it before it is
 * reported as accepted
 * @property snapshotEvery number of versions between two snapshots in the object store
 */
data class PropagationTimings(
    val pollInterval: Duration = 500.milliseconds,
    val maximumPollInterval: Duration = 4.seconds,
    val resendInterval: Duration = 1.seconds,
    val acceptanceTimeout: Duration = 2.seconds,
    val snapshotEvery: Long = 1_000,
)

/**
 * Decides how one process receives table changes and forwards them. It polls the log, sends newer tables to every
 * connected process that reports an older version, and requests them from processes that report a newer one. Because
 * every process that holds a change forwards it, the change spreads without the store once one live process has it.
 *
 * Not thread-safe.
 *
 * @param readsLog whether this process reads the log itself. A sidecar does not: it receives changes from entries
 * only, and sends tables only on request, so that an entry does not receive the same change from each of its sidecars.
 */
class TablePropagation(
    private val random: Random,
    private val timings: PropagationTimings = PropagationTimings(),
    private val readsLog: Boolean = true,
    private val replica: TableReplica = TableReplica(),
) {
    private val processes = LinkedHashMap<DaemonId, ConnectedProcess>()
    private val daemonByLink = HashMap<LinkId, DaemonId>()
    private val acceptanceDeadlines = LinkedHashMap<TableVersion, Instant>()
    private val actions = mutableListOf<PropagationAction>()
    private var pollAt = Instant.DISTANT_PAST
    private var pollDelay = timings.pollInterval
    private var timerAt = Instant.DISTANT_PAST
    private var isReadingLog = false

    /** The newest tables that this process knows. */
    val tables: Tables get() = replica.tables

    /** Returns the number of other live processes known to hold [version]. */
    fun holderCount(version: TableVersion): Int = processes.values.count { it.version >= version }

    /** Returns the version that [daemon] last reported, or null if it is not connected. */
    fun versionOf(daemon: DaemonId): TableVersion? = processes[daemon]?.version

    /** Handles [event], which happened at [now], and returns the actions to perform, in order. */
    fun handle(event: PropagationEvent, now: Instant): List<PropagationAction> {
        when (event) {
            PropagationEvent.TimerDue -> Unit
            is PropagationEvent.LogRead -> handleLogRead(event.after, event.page, now)
            is PropagationEvent.LogReadFailed -> handleLogReadFailed(now)
            is PropagationEvent.Committed -> handleCommitted(event.change, now)
            is PropagationEvent.VersionReported -> handleVersionReported(event)
            is PropagationEvent.LinkClosed -> handleLinkClosed(event.link)
            is PropagationEvent.ChangesRequested ->
                replica.responseTo(FetchChanges(event.after))?.let { send(event.link, it) }
            is PropagationEvent.ChangesReceived -> handleChanges(event)
            is PropagationEvent.SnapshotReceived -> handleSnapshot(event)
        }
        pollLog(now)
        exchangeTables(now)
        reportAccepted(now)
        updateTimer(now)
        return actions.toList().also { actions.clear() }
    }

    private fun pollLog(now: Instant) {
        if (!readsLog || isReadingLog || now < pollAt) return
        isReadingLog = true
        actions += PropagationAction.ReadLog(replica.version)
    }

    private fun handleLogRead(after: TableVersion, page: LogPage, now: Instant) {
        // Every version that this process held when the read started was in the log at that time.
        if (page.head < after) {
            actions += PropagationAction.ReportInvariantViolation(
                "the log ends at version ${page.head}, but this process already holds version $after",
            )
        }
        page.snapshot?.let { handleMergeResult(replica.merge(it)) }
        handleMergeResult(replica.merge(page.changes))
        pollDelay = timings.pollInterval
        schedulePoll(now)
    }

    private fun handleLogReadFailed(now: Instant) {
        pollDelay = minOf(pollDelay * 2, timings.maximumPollInterval)
        schedulePoll(now)
    }

    private fun schedulePoll(now: Instant) {
        isReadingLog = false
        val isBehindLog = acceptanceDeadlines.keys.any { it > replica.version }
        val delay = if (isBehindLog) CATCH_UP_DELAY else pollDelay
        pollAt = now + delay * random.nextDouble(MINIMUM_JITTER, MAXIMUM_JITTER)
    }

    private fun handleCommitted(change: TableChange, now: Instant) {
        acceptanceDeadlines[change.version] = now + timings.acceptanceTimeout
        handleMergeResult(replica.merge(listOf(change)))
        val isSnapshotDue = replica.version == change.version && change.version.value % timings.snapshotEvery == 0L
        if (isSnapshotDue) actions += PropagationAction.StoreSnapshot(replica.snapshot())
        // The log has the changes between the current version and this one.
        if (replica.version < change.version) pollAt = now
    }

    private fun handleVersionReported(event: PropagationEvent.VersionReported) {
        val previous = daemonByLink.put(event.link, event.daemon)
        if (previous != null && previous != event.daemon) removeLink(event.link, previous)
        processes.getOrPut(event.daemon) { ConnectedProcess(event.version) }.recordVersion(event.link, event.version)
    }

    private fun handleLinkClosed(link: LinkId) {
        daemonByLink.remove(link)?.let { removeLink(link, it) }
    }

    private fun removeLink(link: LinkId, daemon: DaemonId) {
        val process = processes[daemon] ?: return
        process.links.remove(link)
        // Messages sent on the closed link may be lost, so send and request again on another link.
        process.sentVersion = TableVersion.NONE
        process.requestedAt = Instant.DISTANT_PAST
        if (process.links.isEmpty()) processes.remove(daemon)
    }

    private fun handleChanges(event: PropagationEvent.ChangesReceived) {
        handleMergeResult(replica.merge(event.changes))
        event.changes.maxOfOrNull { it.version }?.let { recordHolder(event.link, it) }
        acknowledge(event.link)
    }

    private fun handleSnapshot(event: PropagationEvent.SnapshotReceived) {
        handleMergeResult(replica.merge(event.snapshot))
        recordHolder(event.link, event.snapshot.tables.version)
        acknowledge(event.link)
    }

    /** Records that the process at the other end of [link] holds [version], because it sent the tables itself. */
    private fun recordHolder(link: LinkId, version: TableVersion) {
        val process = daemonByLink[link]?.let { processes[it] } ?: return
        process.version = maxOf(process.version, version)
        process.requestedAt = Instant.DISTANT_PAST
    }

    private fun acknowledge(link: LinkId) = send(link, Heartbeat(replica.version))

    private fun handleMergeResult(result: MergeResult) {
        if (result.versionAdvanced) actions += PropagationAction.PublishTables(replica.tables)
        result.conflicts.forEach {
            val detail = "change ${it.rejected} was rejected, because version ${it.version} is change ${it.applied}"
            actions += PropagationAction.ReportInvariantViolation(detail)
        }
    }

    /** Sends newer tables to processes that are behind, and requests them from processes that are ahead. */
    private fun exchangeTables(now: Instant) {
        for (process in processes.values) {
            if (readsLog && process.version < replica.version) sendTables(process, now)
        }
        requestNewerTables(now)
    }

    /** Requests tables from a few processes at a time, so that not all of them send the same tables at once. */
    private fun requestNewerTables(now: Instant) {
        val ahead = processes.values.filter { it.version > replica.version }
        val (pending, candidates) = ahead.partition { now < it.requestedAt + timings.resendInterval }
        val freeRequestSlots = (MAXIMUM_PENDING_REQUESTS - pending.size).coerceAtLeast(0)
        candidates.sortedBy { it.requestedAt }.take(freeRequestSlots).forEach { requestTables(it, now) }
    }

    private fun sendTables(process: ConnectedProcess, now: Instant) {
        val isInTransit = process.sentVersion >= replica.version && now < process.sentAt + timings.resendInterval
        if (isInTransit) return
        process.sentVersion = replica.version
        process.sentAt = now
        replica.responseTo(FetchChanges(process.version))?.let { send(process.links.last(), it) }
    }

    private fun requestTables(process: ConnectedProcess, now: Instant) {
        process.requestedAt = now
        send(process.links.last(), FetchChanges(replica.version))
    }

    private fun reportAccepted(now: Instant) {
        val accepted = acceptanceDeadlines.filter { (version, deadline) ->
            val hasEnoughHolders = replica.version >= version && (processes.isEmpty() || holderCount(version) > 0)
            hasEnoughHolders || now >= deadline
        }
        for (version in accepted.keys) {
            acceptanceDeadlines.remove(version)
            actions += PropagationAction.ReportAccepted(version, holderCount(version))
        }
    }

    private fun updateTimer(now: Instant) {
        val next = nextTimerAt(now)
        val isTimerSet = timerAt > now && timerAt <= next
        if (isTimerSet) return
        timerAt = next
        actions += PropagationAction.StartTimer(next)
    }

    private fun nextTimerAt(now: Instant): Instant {
        val times = acceptanceDeadlines.values.toMutableList()
        if (readsLog && !isReadingLog) times += pollAt
        if (processes.values.any { it.version != replica.version }) times += now + timings.resendInterval
        return times.minOrNull() ?: (now + timings.maximumPollInterval)
    }

    private fun send(link: LinkId, message: Message) {
        actions += PropagationAction.Send(link, message)
    }

    private companion object {
        const val MINIMUM_JITTER = 0.75
        const val MAXIMUM_JITTER = 1.25

        /** Maximum number of processes from which newer tables are requested at the same time. */
        const val MAXIMUM_PENDING_REQUESTS = 2

        /** Delay between two reads of the log while this process lacks a version that is known to be in the log. */
        val CATCH_UP_DELAY = 50.milliseconds
    }
}
