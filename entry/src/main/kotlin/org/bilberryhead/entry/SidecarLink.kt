package org.bilberryhead.entry

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.execution.OpenAttempt
import org.bilberryhead.core.execution.OpenAttempts
import org.bilberryhead.core.membership.ConnectionState
import org.bilberryhead.core.message.AttemptLocation
import org.bilberryhead.core.message.AttemptMessage
import org.bilberryhead.core.message.AttemptOutcome
import org.bilberryhead.core.message.Dispatch
import org.bilberryhead.core.message.Failed
import org.bilberryhead.core.message.Frame
import org.bilberryhead.core.message.Heartbeat
import org.bilberryhead.core.message.Hello
import org.bilberryhead.core.message.Leaving
import org.bilberryhead.core.message.LoadReport
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.message.OutcomeReport
import org.bilberryhead.core.message.Query
import org.bilberryhead.core.message.QueryOutcome
import org.bilberryhead.core.message.Refused
import org.bilberryhead.core.message.Welcome
import org.bilberryhead.core.pipeline.RequestEvent
import org.bilberryhead.core.tables.Endpoint
import org.bilberryhead.protocol.MessageClient
import org.bilberryhead.protocol.MessageClientHandler
import org.bilberryhead.protocol.ProtocolError
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Clock
import kotlin.time.Duration

private val log = KotlinLogging.logger("entry")

/** What a link needs from its entry. */
interface LinkOwner {
    /** Returns the hello message that opens a connection. */
    fun hello(): Hello

    /** Returns the next heartbeat to send. */
    fun heartbeat(): Heartbeat

    /** Time between two heartbeats on a connection that awaits no response. */
    val idleInterval: Duration

    /** Called when the sidecar of [link] has completed the handshake. */
    suspend fun handshakeCompleted(link: SidecarLink, welcome: Welcome)

    /** Called when the sidecar of [link] reports the version of its tables. */
    suspend fun versionReported(link: SidecarLink, version: TableVersion)

    /** Called when a message about the tables is received on [link]. */
    suspend fun tableMessageReceived(link: SidecarLink, message: Message)

    /** Called when the connection of [link] is lost. */
    suspend fun connectionLost(link: SidecarLink)

    /** Called when the sidecar of [endpoint] reports its load. */
    fun loadReported(endpoint: Endpoint, load: LoadReport)
}

/** Receives the events of the attempts of one request. */
fun interface AttemptSubscriber {
    /** Processes [event]; must not block. */
    fun deliver(event: RequestEvent)
}

/** Sends messages about attempts to one sidecar. Thread-safe. */
interface AttemptLink {
    /** Sends [message] to the sidecar's [incarnation]; [subscriber] receives the events of the attempt. */
    fun send(incarnation: Incarnation, message: AttemptMessage, subscriber: AttemptSubscriber)

    /** Stops delivering events of [attempt] to [subscriber]. */
    fun unsubscribe(attempt: AttemptId, subscriber: AttemptSubscriber)

    /** Waits until the link has been connected once, for at most [timeout]. */
    suspend fun awaitFirstConnection(timeout: Duration)

    /** Queries the sidecar for the outcome of the attempt at [location]; null when it does not respond in [timeout]. */
    suspend fun queryOutcome(location: AttemptLocation, timeout: Duration): OutcomeReport?
}

/** Finds the link to the sidecar of an endpoint. */
fun interface LinkSource {
    /** Returns the link to [endpoint], creating it if needed, or null when [endpoint] is not in the tables. */
    fun link(endpoint: EndpointId): AttemptLink?
}

/** The connection to one sidecar, and the attempts and queries that await its responses. Thread-safe. */
class SidecarLink(
    val endpoint: Endpoint,
    private val owner: LinkOwner,
    selectorManager: SelectorManager,
    scope: CoroutineScope,
    clock: Clock,
) : MessageClientHandler,
    AttemptLink {
    private val client = MessageClient(endpoint.sidecar, this, selectorManager, scope, clock)
    private val openAttempts = OpenAttempts<AttemptSubscriber>()
    private val pendingQueries = ConcurrentHashMap<AttemptLocation, CompletableDeferred<OutcomeReport>>()

    private val firstConnection = CompletableDeferred<Unit>()

    @Volatile
    private var connectedIncarnation: Incarnation? = null

    @Volatile
    private var leaving = false

    @Volatile
    private var reportedVersion = TableVersion.NONE

    override val isAwaitingResponse: Boolean
        get() = !openAttempts.isEmpty || pendingQueries.isNotEmpty() || reportedVersion < owner.heartbeat().tableVersion

    override val idleInterval: Duration get() = owner.idleInterval

    /** The incarnation of the sidecar if it is connected and not leaving, otherwise null. */
    val servingIncarnation: Incarnation? get() = connectedIncarnation.takeUnless { leaving }

    /** Whether no attempt and no query awaits a response on this link. */
    val isIdle: Boolean get() = openAttempts.isEmpty && pendingQueries.isEmpty()

    /** State of the connection to the sidecar. */
    val connection: ConnectionState
        get() = when {
            connectedIncarnation == null -> ConnectionState.NONE
            leaving -> ConnectionState.LEAVING
            else -> ConnectionState.SERVING
        }

    /** Whether the sidecar is connected and leaving. */
    val isLeaving: Boolean get() = leaving

    /** Starts to connect. */
    fun start() = client.start()

    /** Closes the connection. */
    fun stop() = client.stop()

    override fun send(incarnation: Incarnation, message: AttemptMessage, subscriber: AttemptSubscriber) {
        if (!openAttempts.subscribeBeforeSend(
                message,
                incarnation,
                subscriber,
            )
        ) {
            return reportIdConflict(message, subscriber)
        }
        val current = connectedIncarnation
        val isWritten = current == incarnation && client.trySend(message)
        when {
            isWritten -> Unit
            message is Dispatch -> subscriber.deliver(RequestEvent.NotWritten(message.attempt))
            current != null && current != incarnation ->
                subscriber.deliver(RequestEvent.IncarnationReplaced(message.attempt))
        }
    }

    /**
     * Reports that the id of [message]'s attempt is in use for other work on this link. The entry does not know whether
     * the sidecar has received this work under the same id.
     */
    private fun reportIdConflict(message: AttemptMessage, subscriber: AttemptSubscriber) {
        if (message !is Dispatch && message !is Query) return
        log.warn { "entry: attempt id ${message.attempt} is already in use for other work" }
        subscriber.deliver(RequestEvent.AttemptIdConflict(message.attempt))
    }

    override fun unsubscribe(attempt: AttemptId, subscriber: AttemptSubscriber) =
        openAttempts.unsubscribe(attempt, subscriber)

    override suspend fun awaitFirstConnection(timeout: Duration) {
        withTimeoutOrNull(timeout) { firstConnection.await() }
    }

    override suspend fun queryOutcome(location: AttemptLocation, timeout: Duration): OutcomeReport? {
        val current = connectedIncarnation
        if (current != null && current != location.incarnation) {
            return OutcomeReport(location.attempt, AttemptOutcome.FORGOTTEN)
        }
        val response = pendingQueries.computeIfAbsent(location) { CompletableDeferred() }
        client.trySend(QueryOutcome(location.attempt, location.incarnation))
        try {
            return withTimeoutOrNull(timeout) { response.await() }
        } finally {
            pendingQueries.remove(location, response)
        }
    }

    /** Queues [message] about the tables without a delivery guarantee; returns false when it was not queued. */
    fun trySend(message: Message): Boolean = client.trySend(message)

    override fun hello(): Hello = owner.hello()

    override fun heartbeat(): Heartbeat = owner.heartbeat()

    override suspend fun onOpened(welcome: Welcome) {
        log.info { "entry: connected to sidecar of ${endpoint.id}, incarnation ${welcome.incarnation}" }
        leaving = welcome.leaving
        connectedIncarnation = welcome.incarnation
        reportedVersion = welcome.tableVersion
        firstConnection.complete(Unit)
        welcome.load?.let { owner.loadReported(endpoint, it) }
        owner.handshakeCompleted(this, welcome)
        deliverToAll { attempt, open ->
            val isSame = open.incarnation == welcome.incarnation
            if (isSame) RequestEvent.ConnectionRestored(attempt) else RequestEvent.IncarnationReplaced(attempt)
        }
    }

    override suspend fun onMessage(message: Message) {
        when (message) {
            is AttemptMessage -> {
                loadOf(message)?.let { owner.loadReported(endpoint, it) }
                openAttempts[message.attempt].forEach { it.subscriber.deliver(RequestEvent.MessageArrived(message)) }
            }
            is Heartbeat -> {
                message.load?.let { owner.loadReported(endpoint, it) }
                reportedVersion = message.tableVersion
                owner.versionReported(this, message.tableVersion)
            }
            is Leaving -> {
                leaving = true
                log.info { "entry: sidecar of ${endpoint.id} is leaving" }
            }
            is OutcomeReport -> completeQueries(message)
            else -> owner.tableMessageReceived(this, message)
        }
    }

    override suspend fun onLost(error: ProtocolError) {
        connectedIncarnation = null
        owner.connectionLost(this)
        deliverToAll { attempt, _ -> RequestEvent.ConnectionLost(attempt) }
    }

    private fun deliverToAll(event: (AttemptId, OpenAttempt<AttemptSubscriber>) -> RequestEvent) =
        openAttempts.forEach { attempt, open -> open.subscriber.deliver(event(attempt, open)) }

    private fun completeQueries(report: OutcomeReport) {
        val matching = pendingQueries.filterKeys {
            it.attempt == report.attempt &&
                it.incarnation == connectedIncarnation
        }
        matching.values.forEach { it.complete(report) }
    }

    private fun loadOf(message: AttemptMessage): LoadReport? = when (message) {
        is Frame -> message.load
        is Refused -> message.load
        is Failed -> message.load
        else -> null
    }
}
