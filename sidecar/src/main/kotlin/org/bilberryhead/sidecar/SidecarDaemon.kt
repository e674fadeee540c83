package org.bilberryhead.sidecar

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.execution.AttemptLedger
import org.bilberryhead.core.gate.ConnectionId
import org.bilberryhead.core.gate.GateAction
import org.bilberryhead.core.gate.GateEvent
import org.bilberryhead.core.gate.GateLimits
import org.bilberryhead.core.gate.SidecarGate
import org.bilberryhead.core.message.AttemptMessage
import org.bilberryhead.core.message.AttemptOutcome
import org.bilberryhead.core.message.Dispatch
import org.bilberryhead.core.message.Heartbeat
import org.bilberryhead.core.message.Hello
import org.bilberryhead.core.message.Leaving
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.message.OutcomeReport
import org.bilberryhead.core.message.QueryOutcome
import org.bilberryhead.core.message.Refused
import org.bilberryhead.core.message.Welcome
import org.bilberryhead.core.propagation.PublishedTables
import org.bilberryhead.core.tables.Tables
import org.bilberryhead.protocol.MessageServer
import org.bilberryhead.protocol.MessageServerHandler
import org.bilberryhead.protocol.ProtocolTimings
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val log = KotlinLogging.logger("sidecar")

/**
 * Runs a [SidecarGate] on one control thread, and connections and endpoint calls on other threads.
 *
 * @param controlCapacity capacity of the control thread, in steps; above it new work is refused, and connections and
 *   endpoint calls wait
 */
class SidecarDaemon(
    private val settings: SidecarSettings,
    private val incarnation: Incarnation,
    private val clock: Clock,
    private val caller: EndpointCaller,
    private val metrics: SidecarMetrics,
    engineCalls: EngineOrderExecutor,
    private val timings: ProtocolTimings = ProtocolTimings(),
    controlCapacity: Int = ControlThread.DEFAULT_CAPACITY,
    onBrokenInvariant: () -> Unit,
) {
    private val control = ControlThread(controlCapacity, onBrokenInvariant)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val ledger = AttemptLedger()
    private val gate = SidecarGate(incarnation, GateLimits(settings.concurrency, settings.queueCapacity), ledger)
    private val tables = SidecarTables(TablesOwner(), clock, Random.Default)
    private val senders = HashMap<ConnectionId, (Message) -> Boolean>()
    private val calls = HashMap<AttemptId, Job>()
    private var tablesTimer: Job? = null
    private val stopped = Job()
    private val server = MessageServer(settings.listen, ConnectionHandler(), scope, timings)
    private val orders = EngineOrders(settings, incarnation, clock, engineCalls, metrics, scope, control)

    @Volatile
    private var isServing = false

    @Volatile
    private var status = gate.status

    private val publishedTables = PublishedTables()
    private val tableVersion: TableVersion get() = publishedTables.tables.version

    /** Address to which entries connect. Available once [start] has returned. */
    val listenAddress: SocketAddress get() = server.listenAddress

    /** Starts serving. */
    suspend fun start() {
        registerGauges()
        openGate()
        server.start()
        isServing = true
        scope.launch { tickLoop() }
        orders.start()
        log.info {
            "sidecar: serving endpoint ${settings.endpoint} on ${server.listenAddress} as incarnation $incarnation"
        }
    }

    /** Lets the gate accept attempts. A welcome that is sent earlier would report the sidecar as leaving. */
    private suspend fun openGate() {
        val opened = CompletableDeferred<Unit>()
        control.post {
            step(GateEvent.Ready)
            opened.complete(Unit)
        }
        opened.await()
    }

    /** Refuses new work, waits until accepted work has ended and its responses are sent, and stops. */
    suspend fun drain() {
        log.info { "sidecar: leaving with ${status.load.running} running and ${status.load.queued} queued" }
        orders.leave()
        post(GateEvent.LeaveRequested)
        // Keeps the connections open to refuse attempts that entries sent before they received the announcement.
        delay(LEAVING_NOTICE_PERIOD)
        stopped.join()
        server.stopGracefully(FLUSH_TIMEOUT)
        caller.close()
        orders.close()
        log.info { "sidecar: stopped" }
    }

    /** Returns the reason why the sidecar does not accept work, or null if it does. */
    fun notReadyReason(): String? = when {
        !isServing -> "starting"
        status.refusesNewWork -> "leaving"
        else -> null
    }

    private suspend fun tickLoop() {
        while (true) {
            delay(TICK_INTERVAL)
            post(GateEvent.Tick)
        }
    }

    private fun post(event: GateEvent) = control.post { step(event) }

    private fun step(event: GateEvent) {
        val actions = gate.handle(event, clock.now())
        // Set before the actions run, so that a process that is notified of a change also finds it in a welcome or at
        // the operations address.
        status = gate.status
        actions.forEach(::perform)
    }

    private fun perform(action: GateAction) {
        when (action) {
            is GateAction.Send -> send(action.connection, action.message)
            is GateAction.Run -> run(action.dispatch)
            is GateAction.CancelRun -> calls.remove(action.attempt)?.cancel()
            GateAction.Stop -> stopped.complete()
        }
    }

    private fun send(connection: ConnectionId, message: Message) {
        if (message is Refused) {
            metrics.countRefusal(message.reason)
            log.info { "sidecar: refuse attempt ${message.attempt}: ${message.reason}" }
        }
        senders[connection]?.invoke(message)
    }

    private fun run(dispatch: Dispatch) {
        log.info {
            "sidecar: run request ${dispatch.request} attempt ${dispatch.attempt} stage ${dispatch.stage.value}"
        }
        calls[dispatch.attempt] = scope.launch { callEndpoint(dispatch) }
    }

    private suspend fun callEndpoint(dispatch: Dispatch) {
        val startedAt = clock.now()
        var result = CallResult.CANCELLED
        try {
            caller.call(dispatch) { event ->
                result = resultOf(event)
                control.submit { step(event) }
            }
        } finally {
            metrics.recordCall(dispatch.stage, result, clock.now() - startedAt)
            control.post { calls.remove(dispatch.attempt) }
        }
    }

    private fun resultOf(event: GateEvent): CallResult = when (event) {
        is GateEvent.EndpointResponded -> if (event.last) CallResult.ANSWERED else CallResult.CANCELLED
        is GateEvent.EndpointDidNotRun -> CallResult.NOT_RUN
        else -> CallResult.FAILED
    }

    private fun registerGauges() {
        metrics.gauge("bilberry.queue", "Attempts that wait for the endpoint") { status.load.queued }
        metrics.gauge("bilberry.running", "Attempts that the endpoint works on") { status.load.running }
        metrics.gauge("bilberry.concurrency", "Attempts that the endpoint may work on") { status.load.concurrency }
        metrics.gauge("bilberry.control.steps", "Steps that wait for the control thread") { control.unfinishedSteps }
        metrics.gauge("bilberry.ledger.attempts", "Attempts that the ledger remembers") { status.rememberedAttempts }
        metrics.gauge("bilberry.connections", "Open connections of entries") { server.openConnections }
        metrics.gauge("bilberry.table.version", "Version of the tables held") { tableVersion.value }
    }

    private inner class ConnectionHandler : MessageServerHandler {
        override fun welcome(hello: Hello) = Welcome(
            sender = DaemonId("sidecar-${settings.endpoint.value}"),
            incarnation = incarnation,
            tableVersion = tableVersion,
            endpoint = settings.endpoint,
            dataCentre = settings.dataCentre,
            leaving = status.refusesNewWork,
            load = status.load,
        )

        override fun heartbeat() = Heartbeat(tableVersion, status.load)

        override suspend fun onOpened(connection: Long, hello: Hello, send: (Message) -> Boolean) {
            val id = ConnectionId(connection)
            control.post {
                senders[id] = send
                step(GateEvent.ConnectionOpened(id))
                // The welcome may predate the drain, whose announcement went only to the connections open then.
                if (status.refusesNewWork) send(Leaving)
                tables.onOpened(connection, hello, send)
            }
        }

        override suspend fun onMessage(connection: Long, message: Message) {
            val id = ConnectionId(connection)
            when (message) {
                is Dispatch -> receiveDispatch(id, message)
                is AttemptMessage -> control.submit { step(GateEvent.MessageArrived(id, message)) }
                is QueryOutcome -> control.submit { senders[id]?.invoke(outcomeOf(message)) }
                else -> control.submit {
                    if (!tables.onMessage(connection, message)) logUnexpected(connection, message)
                }
            }
        }

        private suspend fun receiveDispatch(connection: ConnectionId, dispatch: Dispatch) {
            val event = if (control.hasCapacity) {
                GateEvent.MessageArrived(connection, dispatch)
            } else {
                GateEvent.MessageQueueFull(connection, dispatch.copy(payload = Payload.EMPTY))
            }
            control.submit { step(event) }
        }

        override suspend fun onClosed(connection: Long) {
            val id = ConnectionId(connection)
            control.post {
                senders.remove(id)
                tables.onClosed(connection)
                step(GateEvent.ConnectionClosed(id))
            }
        }
    }

    private fun outcomeOf(request: QueryOutcome): OutcomeReport {
        if (request.incarnation == incarnation) return ledger.outcomeOf(request.attempt)
        return OutcomeReport(request.attempt, AttemptOutcome.FORGOTTEN)
    }

    private fun logUnexpected(connection: Long, message: Message) =
        log.warn { "sidecar: unexpected ${message::class.simpleName} on connection $connection" }

    private inner class TablesOwner : SidecarTablesOwner {
        override fun publish(tables: Tables) {
            publishedTables.publish(tables)
            val pool = tables.pools.values.find { pool -> pool.endpoints.any { it.id == settings.endpoint } }
            if (pool != null) gate.changeLimits(GateLimits(pool.concurrency, settings.queueCapacity))
            orders.onTablesChanged(tables)
            log.info { "sidecar: tables are at version $tableVersion" }
        }

        override fun startTimer(at: Instant) {
            tablesTimer?.cancel()
            tablesTimer = scope.launch {
                delay(at - clock.now())
                control.post { tables.onTimer() }
            }
        }

        override fun heartbeat() = Heartbeat(tableVersion, status.load)
    }

    private companion object {
        /**
         * Interval at which the gate removes expired ledger entries, refuses queued attempts that cannot start in time,
         * and checks whether the drain is complete.
         */
        val TICK_INTERVAL = 200.milliseconds

        /** Minimum time between the announcement of leaving and the end of the process. */
        val LEAVING_NOTICE_PERIOD = 1.seconds

        /** Time for entries to read the last frames before the connections are closed. */
        val FLUSH_TIMEOUT = 2.seconds
    }
}
