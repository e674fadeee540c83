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

/** What [SidecarTables] needs of the daemon. All functions are called on the control thread. */
internal interface SidecarTablesOwner {
    /** Puts [tables] in force; they are newer than all before. */
    fun inForce(tables: Tables)

    /** Calls [SidecarTables.woken] at [at] on the control thread; replaces the former time. */
    fun wakeAt(at: Instant)

    /** Returns the heartbeat that shows the present version, with the load of the endpoint. */
    fun heartbeat(): Heartbeat
}

/**
 * Keeps the tables of a sidecar, which learns of them from entries only, by the decisions of [TablePropagation].
 *
 * Not safe for use by several threads; it belongs to the control thread.
 */
internal class SidecarTables(private val owner: SidecarTablesOwner, private val clock: Clock, random: Random) {
    private class Link(val daemon: DaemonId, val send: (Message) -> Boolean)

    private val propagation = TablePropagation(random, readsLog = false)
    private val links = HashMap<LinkId, Link>()

    /** The version of the tables held. */
    val version: TableVersion get() = propagation.tables.version

    /** An entry said [hello] on [connection]; [send] queues a message on it. */
    fun opened(connection: Long, hello: Hello, send: (Message) -> Boolean) {
        val link = linkOf(connection)
        links[link] = Link(hello.sender, send)
        handle(PropagationEvent.VersionReported(link, hello.sender, hello.tableVersion))
    }

    /** Takes [message] from [connection] and returns whether it is about tables. */
    fun received(connection: Long, message: Message): Boolean {
        val link = linkOf(connection)
        val daemon = links[link]?.daemon ?: return false
        handle(tableEvent(link, daemon, message) ?: return false)
        return true
    }

    /** [connection] is closed. */
    fun closed(connection: Long) {
        links.remove(linkOf(connection))
        handle(PropagationEvent.LinkClosed(linkOf(connection)))
    }

    /** The time of the last [SidecarTablesOwner.wakeAt] has come. */
    fun woken() = handle(PropagationEvent.TimerDue)

    private fun handle(event: PropagationEvent) = propagation.handle(event, clock.now()).forEach(::perform)

    private fun perform(action: PropagationAction) {
        when (action) {
            is PropagationAction.Send -> links[action.link]?.send?.invoke(withLoad(action.message))
            is PropagationAction.PublishTables -> owner.inForce(action.tables)
            is PropagationAction.StartTimer -> owner.wakeAt(action.at)
            is PropagationAction.ReportInvariantViolation -> log.error { "sidecar: invariant broken: ${action.detail}" }
            is PropagationAction.Accept, is PropagationAction.ReadLog, is PropagationAction.StoreSnapshot ->
                error("a sidecar has no part in $action")
        }
    }

    private fun withLoad(message: Message): Message = if (message is Heartbeat) owner.heartbeat() else message

    private fun linkOf(connection: Long) = LinkId("from $connection")
}
