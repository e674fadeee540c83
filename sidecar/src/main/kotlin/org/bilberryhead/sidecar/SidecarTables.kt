package org.bilberryhead.sidecar

import io.github.oshai.kotlinlogging.KotlinLogging
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.message.Heartbeat
import org.bilberryhead.core.message.Hello
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.propagation.LinkId
import org.bilberryhead.core.propagation.PropagationAction
import org.bilberryhead.core.propagation.PropagationEvent
import org.bilberryhead.core.propagation.TablePropagation
import org.bilberryhead.core.propagation.tableEvent
import org.bilberryhead.core.tables.Tables
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Instant

private val log = KotlinLogging.logger("sidecar")

/** Callbacks of [SidecarTables], which calls them on the control thread. */
internal interface SidecarTablesOwner {
    /** Publishes [tables], which are newer than all previous ones. */
    fun publish(tables: Tables)

    /** Calls [SidecarTables.onTimer] at [at] on the control thread; replaces the previous timer. */
    fun startTimer(at: Instant)

    /** Returns a heartbeat with the current table version and the load of the endpoint. */
    fun heartbeat(): Heartbeat
}

/**
 * Keeps the tables of a sidecar up to date, as decided by [TablePropagation]. A sidecar receives them only from
 * entries.
 *
 * Not thread-safe; used on the control thread.
 */
internal class SidecarTables(private val owner: SidecarTablesOwner, private val clock: Clock, random: Random) {
    private class Link(val daemon: DaemonId, val send: (Message) -> Boolean)

    private val propagation = TablePropagation(random, readsLog = false)
    private val links = HashMap<LinkId, Link>()

    /** Version of the current tables. */
    val version: TableVersion get() = propagation.tables.version

    /** Called when an entry has sent [hello] on [connection]; [send] queues a message on it. */
    fun onOpened(connection: Long, hello: Hello, send: (Message) -> Boolean) {
        val link = linkOf(connection)
        links[link] = Link(hello.sender, send)
        handle(PropagationEvent.VersionReported(link, hello.sender, hello.tableVersion))
    }

    /** Handles [message] from [connection] and returns whether it concerns the tables. */
    fun onMessage(connection: Long, message: Message): Boolean {
        val link = linkOf(connection)
        val daemon = links[link]?.daemon ?: return false
        handle(tableEvent(link, daemon, message) ?: return false)
        return true
    }

    /** Called when [connection] is closed. */
    fun onClosed(connection: Long) {
        links.remove(linkOf(connection))
        handle(PropagationEvent.LinkClosed(linkOf(connection)))
    }

    /** Called when the timer of the last [SidecarTablesOwner.startTimer] fires. */
    fun onTimer() = handle(PropagationEvent.TimerDue)

    private fun handle(event: PropagationEvent) = propagation.handle(event, clock.now()).forEach(::perform)

    private fun perform(action: PropagationAction) {
        when (action) {
            is PropagationAction.Send -> links[action.link]?.send?.invoke(withLoad(action.message))
            is PropagationAction.PublishTables -> owner.publish(action.tables)
            is PropagationAction.StartTimer -> owner.startTimer(action.at)
            is PropagationAction.ReportInvariantViolation -> log.error { "sidecar: invariant broken: ${action.detail}" }
            is PropagationAction.ReportAccepted, is PropagationAction.ReadLog, is PropagationAction.StoreSnapshot ->
                error("a sidecar cannot perform $action")
        }
    }

    private fun withLoad(message: Message): Message = if (message is Heartbeat) owner.heartbeat() else message

    private fun linkOf(connection: Long) = LinkId("from $connection")
}
