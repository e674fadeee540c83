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
 * @property pollInterval how often the log is read; each pause is drawn from 0.75 to 1.25 of it
 * @property maximumPollInterval pause while the store does not answer, at the longest
 * @property resendInterval time after which a message between processes counts as lost and is sent again
 * @property acceptanceLimit longest time that an accepted change waits for another process to hold it
 * @property snapshotEvery number of versions between two snapshots in the object store
 */
data class PropagationTimings(
    val pollInterval: Duration = 500.milliseconds,
    val maximumPollInterval: Duration = 4.seconds,
    val resendInterval: Duration = 1.seconds,
    val acceptanceLimit: Duration = 2.seconds,
    val snapshotEvery: Long = 1_000,
)

/**
 * Decides how one process learns of table changes and passes them on: it polls the log, catches up every process that
 * shows an older version, and fetches from any that shows a newer one. Because each holder passes a change on, it
 * spreads without the store once one live process has it.
 *
 * Not safe for use by several threads.
 *
 * @param readsLog whether this process reads the log itself. A sidecar does not and learns from entries only; it
 * passes tables on when it is asked, so that an entry is not sent a change by each of its sidecars.
 */
class TablePropagation(
    private val random: Random,
    private val timings: PropagationTimings = PropagationTimings(),
    private val readsLog: Boolean = true,
    private val replica: TableReplica = TableReplica(),
) {
    private val neighbours = LinkedHashMap<DaemonId, Neighbour>()
    private val daemons = HashMap<LinkId, DaemonId>()
    private val waiting = LinkedHashMap<TableVersion, Instant>()
    private val actions = mutableListOf<PropagationAction>()
    private var pollAt = Instant.DISTANT_PAST
    private var pollPause = timings.pollInterval
    private var wakeAt = Instant.DISTANT_PAST
    private var isReading = false

    /** The newest tables that this process may act on. */
    val tables: Tables get() = replica.tables

    /** Returns the number of other live processes known to hold [version]. */
    fun holders(version: TableVersion): Int = neighbours.values.count { it.version >= version }

    /** Returns the version that [daemon] last showed, or null when it is not connected. */
    fun versionOf(daemon: DaemonId): TableVersion? = neighbours[daemon]?.version

    /** Handles [event] and returns what is to be done, in order. */
    fun handle(event: PropagationEvent, now: Instant): List<PropagationAction> {
        when (event) {
            PropagationEvent.TimerDue -> Unit
            is PropagationEvent.LogRead -> logRead(event.after, event.page, now)
            is PropagationEvent.LogReadFailed -> logReadFailed(now)
            is PropagationEvent.Committed -> committed(event.change, now)
            is PropagationEvent.VersionReported -> versionReported(event)
            is PropagationEvent.LinkClosed -> linkClosed(event.link)
            is PropagationEvent.FetchReceived -> replica.answer(FetchChanges(event.after))?.let { send(event.link, it) }
            is PropagationEvent.ChangesReceived -> changesReceived(event)
            is PropagationEvent.SnapshotReceived -> snapshotReceived(event)
        }
        poll(now)
        exchange(now)
        settleAcceptances(now)
        armWake(now)
        return actions.toList().also { actions.clear() }
    }

    private fun poll(now: Instant) {
        if (!readsLog || isReading || now < pollAt) return
        isReading = true
        actions += PropagationAction.ReadLog(replica.version)
    }

    private fun logRead(after: TableVersion, page: LogPage, now: Instant) {
        // Every version that this process held before the read began was in the log by then.
        if (page.head < after) {
            actions += PropagationAction.ReportInvariantViolation(
                "the log ends at ${page.head}, but version $after is in force",
            )
        }
        page.snapshot?.let { take(replica.merge(it)) }
        take(replica.merge(page.changes))
        pollPause = timings.pollInterval
        schedulePoll(now)
    }

    private fun logReadFailed(now: Instant) {
        pollPause = minOf(pollPause * 2, timings.maximumPollInterval)
        schedulePoll(now)
    }

    private fun schedulePoll(now: Instant) {
        isReading = false
        val isBehindLog = waiting.keys.any { it > replica.version }
        val pause = if (isBehindLog) CATCH_UP_PAUSE else pollPause
        pollAt = now + pause * random.nextDouble(LEAST_JITTER, MOST_JITTER)
    }

    private fun committed(change: TableChange, now: Instant) {
        waiting[change.version] = now + timings.acceptanceLimit
        take(replica.merge(listOf(change)))
        val isSnapshotDue = replica.version == change.version && change.version.value % timings.snapshotEvery == 0L
        if (isSnapshotDue) actions += PropagationAction.StoreSnapshot(replica.snapshot())
        // Changes between the present version and this one are in the log.
        if (replica.version < change.version) pollAt = now
    }

    private fun versionReported(event: PropagationEvent.VersionReported) {
        val former = daemons.put(event.link, event.daemon)
        if (former != null && former != event.daemon) detach(event.link, former)
        neighbours.getOrPut(event.daemon) { Neighbour(event.version) }.shown(event.link, event.version)
    }

    private fun linkClosed(link: LinkId) {
        daemons.remove(link)?.let { detach(link, it) }
    }

    private fun detach(link: LinkId, daemon: DaemonId) {
        val neighbour = neighbours[daemon] ?: return
        neighbour.links.remove(link)
        // What was sent on the link may be lost.
        neighbour.offered = TableVersion.NONE
        neighbour.askedAt = Instant.DISTANT_PAST
        if (neighbour.links.isEmpty()) neighbours.remove(daemon)
    }

    private fun changesReceived(event: PropagationEvent.ChangesReceived) {
        take(replica.merge(event.changes))
        event.changes.maxOfOrNull { it.version }?.let { holds(event.link, it) }
        acknowledge(event.link)
    }

    private fun snapshotReceived(event: PropagationEvent.SnapshotReceived) {
        take(replica.merge(event.snapshot))
        holds(event.link, event.snapshot.tables.version)
        acknowledge(event.link)
    }

    /** A process that sends a change holds it. */
    private fun holds(link: LinkId, version: TableVersion) {
        val neighbour = daemons[link]?.let { neighbours[it] } ?: return
        neighbour.version = maxOf(neighbour.version, version)
        neighbour.askedAt = Instant.DISTANT_PAST
    }

    private fun acknowledge(link: LinkId) = send(link, Heartbeat(replica.version))

    private fun take(result: MergeResult) {
        if (result.versionAdvanced) actions += PropagationAction.PublishTables(replica.tables)
        result.conflicts.forEach {
            val detail = "version ${it.version} is held from change ${it.applied} but was offered from ${it.rejected}"
            actions += PropagationAction.ReportInvariantViolation(detail)
        }
    }

    /** Sends what others lack and asks for what this process lacks. */
    private fun exchange(now: Instant) {
        for (neighbour in neighbours.values) {
            if (readsLog && neighbour.version < replica.version) offer(neighbour, now)
        }
        askSome(now)
    }

    /** Asks a few of those ahead, in turn, so that a process behind is not sent the same tables by all at once. */
    private fun askSome(now: Instant) {
        val ahead = neighbours.values.filter { it.version > replica.version }
        val (waitedFor, others) = ahead.partition { now < it.askedAt + timings.resendInterval }
        val room = (MAXIMUM_ASKED - waitedFor.size).coerceAtLeast(0)
        others.sortedBy { it.askedAt }.take(room).forEach { ask(it, now) }
    }

    private fun offer(neighbour: Neighbour, now: Instant) {
        val isOnItsWay = neighbour.offered >= replica.version && now < neighbour.offeredAt + timings.resendInterval
        if (isOnItsWay) return
        neighbour.offered = replica.version
        neighbour.offeredAt = now
        replica.answer(FetchChanges(neighbour.version))?.let { send(neighbour.links.last(), it) }
    }

    private fun ask(neighbour: Neighbour, now: Instant) {
        neighbour.askedAt = now
        send(neighbour.links.last(), FetchChanges(replica.version))
    }

    private fun settleAcceptances(now: Instant) {
        val ended = waiting.filter { (version, limit) ->
            val isHeld = replica.version >= version && (neighbours.isEmpty() || holders(version) > 0)
            isHeld || now >= limit
        }
        for (version in ended.keys) {
            waiting.remove(version)
            actions += PropagationAction.Accept(version, holders(version))
        }
    }

    private fun armWake(now: Instant) {
        val next = nextWake(now)
        val isArmed = wakeAt > now && wakeAt <= next
        if (isArmed) return
        wakeAt = next
        actions += PropagationAction.StartTimer(next)
    }

    private fun nextWake(now: Instant): Instant {
        val times = waiting.values.toMutableList()
        if (readsLog && !isReading) times += pollAt
        if (neighbours.values.any { it.version != replica.version }) times += now + timings.resendInterval
        return times.minOrNull() ?: (now + timings.maximumPollInterval)
    }

    private fun send(link: LinkId, message: Message) {
        actions += PropagationAction.Send(link, message)
    }

    private companion object {
        const val LEAST_JITTER = 0.75
        const val MOST_JITTER = 1.25

        /** Processes that are asked for newer tables at the same time, at most. */
        const val MAXIMUM_ASKED = 2

        /** Pause between two reads of the log while a version known to be in it is missing here. */
        val CATCH_UP_PAUSE = 50.milliseconds
    }
}
