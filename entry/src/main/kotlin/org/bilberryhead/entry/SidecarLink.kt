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
import org.bilberryhead.protocol.ClientHandler
import org.bilberryhead.protocol.MessageClient
import org.bilberryhead.protocol.ProtocolError
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Clock
import kotlin.time.Duration

private val log = KotlinLogging.logger("entry")

/** What a link needs of its entry. */
interface LinkOwner {
    /** Returns the hello to open connections with. */
    fun hello(): Hello

    /** Returns the heartbeat to send now. */
    fun heartbeat(): Heartbeat

    /** Time between two heartbeats on a connection on which nothing is awaited. */
    val idleInterval: Duration

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

/** Takes what happens to the attempts of one request. */
fun interface AttemptSubscriber {
    /** Takes [event]; must return at once. */
    fun deliver(event: RequestEvent)
}

/** Carries messages about attempts to one sidecar. Safe for use by several threads. */
interface AttemptLink {
    /** Sends [message] to the run [incarnation] of the sidecar; [subscriber] takes what happens to the attempt. */
    fun send(incarnation: Incarnation, message: AttemptMessage, subscriber: AttemptSubscriber)

    /** Delivers nothing more for [attempt] to [subscriber]. */
    fun forget(attempt: AttemptId, subscriber: AttemptSubscriber)

    /** Waits until the link has been open once, for [limit] at the longest. */
    suspend fun awaitFirstOpening(limit: Duration)

    /** Waits for what the sidecar knows of the attempt at [location]. */
    suspend fun askOutcome(location: AttemptLocation): OutcomeReport
}

/** Finds the link to the sidecar of an endpoint. */
fun interface LinkSource {
    /** Returns the link to [endpoint], or null when it is not in the tables. The link may open only now. */
    fun link(endpoint: EndpointId): AttemptLink?
}

/** The connection to one sidecar, and the attempts that wait for its answers. Safe for use by several threads. */
class SidecarLink(
    val endpoint: Endpoint,
    private val owner: LinkOwner,
    selectors: SelectorManager,
    scope: CoroutineScope,
    clock: Clock,
) : ClientHandler,
    AttemptLink {
    private val client = MessageClient(endpoint.sidecar, this, selectors, scope, clock)
    private val openAttempts = OpenAttempts<AttemptSubscriber>()
    private val questions = ConcurrentHashMap<AttemptLocation, CompletableDeferred<OutcomeReport>>()

    private val firstOpening = CompletableDeferred<Unit>()

    @Volatile
    private var connected: Incarnation? = null

    @Volatile
    private var leaving = false

    @Volatile
    private var shownVersion = TableVersion.NONE

    override val isAnswerAwaited: Boolean
        get() = !openAttempts.isEmpty || questions.isNotEmpty() || shownVersion < owner.heartbeat().tableVersion

    override val idleInterval: Duration get() = owner.idleInterval

    /** The run of the sidecar that takes work now, or null. */
    val servingIncarnation: Incarnation? get() = connected.takeUnless { leaving }

    /** Whether no attempt and no question waits for an answer on this link. */
    val isIdle: Boolean get() = openAttempts.isEmpty && questions.isEmpty()

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

    override fun send(incarnation: Incarnation, message: AttemptMessage, subscriber: AttemptSubscriber) {
        if (!openAttempts.subscribeBeforeSend(message, incarnation, subscriber)) return endUntold(message, subscriber)
        val current = connected
        val isWritten = current == incarnation && client.trySend(message)
        when {
            isWritten -> Unit
            message is Dispatch -> subscriber.deliver(RequestEvent.NotWritten(message.attempt))
            current != null && current != incarnation ->
                subscriber.deliver(RequestEvent.IncarnationReplaced(message.attempt))
        }
    }

    /** The attempt stands for other work here; whether the sidecar has this work under it, this entry can not tell. */
    private fun endUntold(message: AttemptMessage, subscriber: AttemptSubscriber) {
        if (message !is Dispatch && message !is Query) return
        log.warn { "entry: attempt ${message.attempt} stands for other work" }
        subscriber.deliver(RequestEvent.AttemptIdConflict(message.attempt))
    }

    override fun forget(attempt: AttemptId, subscriber: AttemptSubscriber) =
        openAttempts.unsubscribe(attempt, subscriber)

    override suspend fun awaitFirstOpening(limit: Duration) {
        withTimeoutOrNull(limit) { firstOpening.await() }
    }

    override suspend fun askOutcome(location: AttemptLocation): OutcomeReport {
        val current = connected
        if (current != null && current != location.incarnation) {
            return OutcomeReport(location.attempt, AttemptOutcome.FORGOTTEN)
        }
        val answer = questions.computeIfAbsent(location) { CompletableDeferred() }
        client.trySend(QueryOutcome(location.attempt, location.incarnation))
        try {
            return answer.await()
        } finally {
            questions.remove(location, answer)
        }
    }

    /** Queues [message] about the tables; it may be lost. */
    fun post(message: Message): Boolean = client.trySend(message)

    override fun hello(): Hello = owner.hello()

    override fun heartbeat(): Heartbeat = owner.heartbeat()

    override suspend fun opened(welcome: Welcome) {
        log.info { "entry: connected to sidecar of ${endpoint.id}, run ${welcome.incarnation}" }
        leaving = welcome.leaving
        connected = welcome.incarnation
        shownVersion = welcome.tableVersion
        firstOpening.complete(Unit)
        welcome.load?.let { owner.loadReported(endpoint, it) }
        owner.opened(this, welcome)
        deliverToAll { attempt, open ->
            val isSameRun = open.incarnation == welcome.incarnation
            if (isSameRun) RequestEvent.ConnectionRestored(attempt) else RequestEvent.IncarnationReplaced(attempt)
        }
    }

    override suspend fun received(message: Message) {
        when (message) {
            is AttemptMessage -> {
                loadOf(message)?.let { owner.loadReported(endpoint, it) }
                openAttempts[message.attempt].forEach { it.subscriber.deliver(RequestEvent.MessageArrived(message)) }
            }
            is Heartbeat -> {
                message.load?.let { owner.loadReported(endpoint, it) }
                shownVersion = message.tableVersion
                owner.versionShown(this, message.tableVersion)
            }
            is Leaving -> {
                leaving = true
                log.info { "entry: sidecar of ${endpoint.id} is leaving" }
            }
            is OutcomeReport -> answerQuestion(message)
            else -> owner.tablesMessage(this, message)
        }
    }

    override suspend fun lost(error: ProtocolError) {
        connected = null
        owner.lost(this)
        deliverToAll { attempt, _ -> RequestEvent.ConnectionLost(attempt) }
    }

    private fun deliverToAll(event: (AttemptId, OpenAttempt<AttemptSubscriber>) -> RequestEvent) =
        openAttempts.forEach { attempt, open -> open.subscriber.deliver(event(attempt, open)) }

    private fun answerQuestion(report: OutcomeReport) {
        val asked = questions.filterKeys { it.attempt == report.attempt && it.incarnation == connected }
        asked.values.forEach { it.complete(report) }
    }

    private fun loadOf(message: AttemptMessage): LoadReport? = when (message) {
        is Frame -> message.load
        is Refused -> message.load
        is Failed -> message.load
        else -> null
    }
}
