package org.bilberryhead.entry

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.message.Heartbeat
import org.bilberryhead.core.message.Hello
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.message.Welcome
import org.bilberryhead.core.propagation.LinkId
import org.bilberryhead.core.propagation.PropagationEvent
import org.bilberryhead.core.propagation.tableEvent
import org.bilberryhead.operator.PeerStatus
import org.bilberryhead.protocol.MessageClient
import org.bilberryhead.protocol.MessageClientHandler
import org.bilberryhead.protocol.MessageCodec
import org.bilberryhead.protocol.MessageServer
import org.bilberryhead.protocol.MessageServerHandler
import org.bilberryhead.protocol.ProtocolError
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Clock
import kotlin.time.Duration

private val log = KotlinLogging.logger("control")

/** What connections between entries need from the control plane. */
interface TableExchange {
    /** Version of the current tables, as reported to other processes. */
    val reportedVersion: TableVersion

    /** Time between two heartbeats on a connection that awaits no response. */
    val idleInterval: Duration

    /** Called when a connection has completed its handshake; [send] queues a message on it. */
    suspend fun linkOpened(link: LinkId, daemon: DaemonId, version: TableVersion, send: (Message) -> Boolean)

    /** Handles [event] of a connection. */
    suspend fun onLinkEvent(event: PropagationEvent)
}

/** Connections between this entry and its peers: one to each peer in the settings, and those that peers open. */
class PeerLinks(
    private val settings: EntrySettings,
    private val incarnation: Incarnation,
    private val exchange: TableExchange,
    selectorManager: SelectorManager,
    scope: CoroutineScope,
    private val clock: Clock,
) {
    private val outgoing = settings.peers.map { OutgoingLink(it, selectorManager, scope) }
    private val server = MessageServer(settings.peerListen, IncomingLinks(), scope)

    /** Returns the status of each peer; [versionOf] returns the version that a daemon last reported. */
    fun status(versionOf: (DaemonId) -> TableVersion?): List<PeerStatus> = outgoing.map { link ->
        val daemon = link.daemon
        PeerStatus(link.address.toString(), daemon, link.isOpen, daemon?.let(versionOf))
    }

    /** Starts to listen for peers and to connect to them. */
    suspend fun start() {
        server.start()
        outgoing.forEach { it.client.start() }
    }

    /** Closes all connections. */
    fun stop() {
        outgoing.forEach { it.client.stop() }
        server.stop()
    }

    private fun hello() = Hello(MessageCodec.PROTOCOL_VERSION, settings.id, exchange.reportedVersion)

    private inner class OutgoingLink(
        val address: SocketAddress,
        selectorManager: SelectorManager,
        scope: CoroutineScope,
    ) : MessageClientHandler {
        private val linkId = LinkId("to $address")
        val client = MessageClient(address, this, selectorManager, scope, clock)

        @Volatile
        var daemon: DaemonId? = null

        @Volatile
        var isOpen = false

        @Volatile
        private var peerVersion = TableVersion.NONE

        /** A peer with an older version is sent the missing changes and then reports the new version. */
        override val isAwaitingResponse: Boolean get() = peerVersion < exchange.reportedVersion

        override val idleInterval: Duration get() = exchange.idleInterval

        override fun hello(): Hello = this@PeerLinks.hello()

        override fun heartbeat() = Heartbeat(exchange.reportedVersion)

        override suspend fun onOpened(welcome: Welcome) {
            log.info { "control: connected to peer ${welcome.sender} at $address" }
            daemon = welcome.sender
            isOpen = true
            peerVersion = welcome.tableVersion
            exchange.linkOpened(linkId, welcome.sender, welcome.tableVersion, client::trySend)
        }

        override suspend fun onMessage(message: Message) {
            val sender = daemon ?: return
            if (message is Heartbeat) peerVersion = message.tableVersion
            tableEvent(linkId, sender, message)?.let { exchange.onLinkEvent(it) }
        }

        override suspend fun onLost(error: ProtocolError) {
            isOpen = false
            exchange.onLinkEvent(PropagationEvent.LinkClosed(linkId))
        }
    }

    private inner class IncomingLinks : MessageServerHandler {
        private val daemons = ConcurrentHashMap<Long, DaemonId>()

        override fun welcome(hello: Hello) =
            Welcome(settings.id, incarnation, exchange.reportedVersion, dataCentre = settings.dataCentre)

        override fun heartbeat() = Heartbeat(exchange.reportedVersion)

        override suspend fun onOpened(connection: Long, hello: Hello, send: (Message) -> Boolean) {
            log.info { "control: peer ${hello.sender} connected" }
            daemons[connection] = hello.sender
            exchange.linkOpened(linkId(connection), hello.sender, hello.tableVersion, send)
        }

        override suspend fun onMessage(connection: Long, message: Message) {
            val sender = daemons[connection] ?: return
            tableEvent(linkId(connection), sender, message)?.let { exchange.onLinkEvent(it) }
        }

        override suspend fun onClosed(connection: Long) {
            daemons.remove(connection)
            exchange.onLinkEvent(PropagationEvent.LinkClosed(linkId(connection)))
        }

        private fun linkId(connection: Long) = LinkId("from $connection")
    }
}
