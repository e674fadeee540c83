package org.bilberryhead.entry

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.membership.ConnectionState
import org.bilberryhead.core.message.AttemptMessage
import org.bilberryhead.core.message.Dispatch
import org.bilberryhead.core.message.Frame
import org.bilberryhead.core.message.Heartbeat
import org.bilberryhead.core.message.Hello
import org.bilberryhead.core.message.Leaving
import org.bilberryhead.core.message.LoadReport
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.message.Refused
import org.bilberryhead.core.message.Welcome
import org.bilberryhead.core.pipeline.RequestEvent
import org.bilberryhead.core.tables.Endpoint
import org.bilberryhead.protocol.ClientHandler
import org.bilberryhead.protocol.MessageClient
import org.bilberryhead.protocol.ProtocolError
import java.util.concurrent.ConcurrentHashMap

private val log = KotlinLogging.logger("entry")

/** What a link needs of its entry. */
interface LinkOwner {
    /** Returns the hello to open connections with. */
    fun hello(): Hello

    /** Returns the heartbeat to send now. */
    fun heartbeat(): Heartbeat

    /** The sidecar behind [link] has answered the hello. */
    suspend fun opened(link: SidecarLink, welcome: Welcome)

    /** The sidecar behind [link] showed which tables it holds. */
    suspend fun versionShown(link: SidecarLink, version: TableVersion)

    /** A message about the tables arrived on [link]. */
    suspend fun tablesMessage(link: SidecarLink, message: Message)

    /** The connection of [link] is lost. */
    suspend fun lost(link: SidecarLink)

    /** The sidecar of [endpoint] reported its load. */
    fun loadReported(endpoint: Endpoint, load: LoadReport)
}

/** The connection to one sidecar, and the attempts that wait for its answers. Safe for use by several threads. */
class SidecarLink(
    val endpoint: Endpoint,
    private val owner: LinkOwner,
    selectors: SelectorManager,
    scope: CoroutineScope,
) : ClientHandler {
    private class OpenAttempt(val incarnation: Incarnation, val deliver: (RequestEvent) -> Unit)

    private val client = MessageClient(endpoint.sidecar, this, selectors, scope)
    private val openAttempts = ConcurrentHashMap<AttemptId, OpenAttempt>()

    @Volatile
    private var connected: Incarnation? = null

    @Volatile
    private var leaving = false

    /** The run of the sidecar that takes work now, or null. */
    val servingIncarnation: Incarnation? get() = connected.takeUnless { leaving }

    /** Whether no attempt waits for an answer on this link. */
    val isIdle: Boolean get() = openAttempts.isEmpty()

    /** What this link shows of its sidecar. */
    val connection: ConnectionState
        get() = when {
            connected == null -> ConnectionState.NONE
            leaving -> ConnectionState.LEAVING
            else -> ConnectionState.SERVING
        }

    /** Whether the sidecar is connected and leaving. */
    val isLeaving: Boolean get() = leaving

    /** Begins to connect. */
    fun start() = client.start()

    /** Closes the connection. */
    fun stop() = client.stop()

    /** Sends [message] to the run [incarnation] of the sidecar; [deliver] takes what happens to the attempt. */
    fun send(incarnation: Incarnation, message: AttemptMessage, deliver: (RequestEvent) -> Unit) {
        openAttempts.putIfAbsent(message.attempt, OpenAttempt(incarnation, deliver))
        val current = connected
        val isWritten = current == incarnation && client.trySend(message)
        when {
            isWritten -> Unit
            message is Dispatch -> deliver(RequestEvent.NotWritten(message.attempt))
            current != null && current != incarnation -> deliver(RequestEvent.IncarnationGone(message.attempt))
        }
    }

    /** Queues [message] about the tables; it may be lost. */
    fun post(message: Message): Boolean = client.trySend(message)

    /** Forgets [attempt]; nothing more is delivered for it. */
    fun forget(attempt: AttemptId) {
        openAttempts.remove(attempt)
    }

    override fun hello(): Hello = owner.hello()

    override fun heartbeat(): Heartbeat = owner.heartbeat()

    override suspend fun opened(welcome: Welcome) {
        log.info { "entry: connected to sidecar of ${endpoint.id}, run ${welcome.incarnation}" }
        leaving = welcome.leaving
        connected = welcome.incarnation
        welcome.load?.let { owner.loadReported(endpoint, it) }
        owner.opened(this, welcome)
        openAttempts.forEach { (attempt, open) ->
            val isSameRun = open.incarnation == welcome.incarnation
            open.deliver(
                if (isSameRun) RequestEvent.ConnectionRestored(attempt) else RequestEvent.IncarnationGone(attempt),
            )
        }
    }

    override suspend fun received(message: Message) {
        when (message) {
            is AttemptMessage -> {
                loadOf(message)?.let { owner.loadReported(endpoint, it) }
                openAttempts[message.attempt]?.deliver?.invoke(RequestEvent.MessageArrived(message))
            }
            is Heartbeat -> {
                message.load?.let { owner.loadReported(endpoint, it) }
                owner.versionShown(this, message.tableVersion)
            }
            is Leaving -> {
                leaving = true
                log.info { "entry: sidecar of ${endpoint.id} is leaving" }
            }
            else -> owner.tablesMessage(this, message)
        }
    }

    override suspend fun lost(error: ProtocolError) {
        connected = null
        owner.lost(this)
        openAttempts.forEach { (attempt, open) -> open.deliver(RequestEvent.ConnectionLost(attempt)) }
    }

    private fun loadOf(message: AttemptMessage): LoadReport? = when (message) {
        is Frame -> message.load
        is Refused -> message.load
        else -> null
    }
}
