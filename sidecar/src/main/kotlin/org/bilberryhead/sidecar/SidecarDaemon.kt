package org.bilberryhead.sidecar

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.newSingleThreadContext
import kotlinx.coroutines.withContext
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.gate.ConnectionId
import org.bilberryhead.core.gate.GateAction
import org.bilberryhead.core.gate.GateEvent
import org.bilberryhead.core.gate.GateLimits
import org.bilberryhead.core.gate.SidecarGate
import org.bilberryhead.core.message.AttemptMessage
import org.bilberryhead.core.message.Changes
import org.bilberryhead.core.message.Dispatch
import org.bilberryhead.core.message.FetchChanges
import org.bilberryhead.core.message.Heartbeat
import org.bilberryhead.core.message.Hello
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.message.Snapshot
import org.bilberryhead.core.message.Welcome
import org.bilberryhead.core.propagation.MergeResult
import org.bilberryhead.core.propagation.TableReplica
import org.bilberryhead.protocol.ConnectionHandler
import org.bilberryhead.protocol.MessageServer
import kotlin.time.Clock
import kotlin.time.Duration.Companion.seconds

private val log = KotlinLogging.logger("sidecar")

/** Runs a [SidecarGate] on one control thread, with connections and endpoint calls on others. */
@OptIn(ExperimentalCoroutinesApi::class)
class SidecarDaemon(
    private val settings: SidecarSettings,
    private val incarnation: Incarnation,
    private val clock: Clock,
    private val caller: EndpointCaller,
) {
    private val control = newSingleThreadContext("control")
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val gate = SidecarGate(incarnation, GateLimits(settings.concurrency, settings.queueCapacity))
    private val replica = TableReplica()
    private val senders = HashMap<ConnectionId, (Message) -> Boolean>()
    private val calls = HashMap<AttemptId, Job>()
    private val stopped = Job()
    private val server = MessageServer(settings.listen, Handler(), scope)

    @Volatile
    private var status = gate.status

    @Volatile
    private var tableVersion = TableVersion.NONE

    /** Begins to serve. */
    suspend fun start() {
        server.start()
        handle(GateEvent.Ready)
        scope.launch { tickLoop() }
        log.info { "sidecar: serving endpoint ${settings.endpoint} on ${settings.listen} as run $incarnation" }
    }

    /** Takes no new work, waits until accepted work has ended, and stops. */
    suspend fun drain() {
        log.info { "sidecar: leaving with ${status.load.running} running and ${status.load.queued} queued" }
        handle(GateEvent.Leave)
        stopped.join()
        delay(FLUSH_PAUSE)
        server.stop()
        log.info { "sidecar: stopped" }
    }

    /** Returns null when the sidecar takes work, or else why not. */
    fun whyNotReady(): String? = if (status.leaving) "leaving" else null

    private suspend fun tickLoop() {
        while (true) {
            delay(TICK_INTERVAL)
            handle(GateEvent.Tick)
        }
    }

    private suspend fun handle(event: GateEvent) = withContext(control) {
        gate.handle(event, clock.now()).forEach(::perform)
        status = gate.status
    }

    private fun perform(action: GateAction) {
        when (action) {
            is GateAction.Send -> senders[action.connection]?.invoke(action.message)
            is GateAction.Run -> run(action.dispatch)
            is GateAction.CancelRun -> calls.remove(action.attempt)?.cancel()
            GateAction.Stop -> stopped.complete()
        }
    }

    private fun run(dispatch: Dispatch) {
        log.info {
            "sidecar: run request ${dispatch.request} attempt ${dispatch.attempt} stage ${dispatch.stage.value}"
        }
        calls[dispatch.attempt] = scope.launch {
            caller.call(dispatch, ::handle)
            withContext(control) { calls.remove(dispatch.attempt) }
        }
    }

    private inner class Handler : ConnectionHandler {
        override fun welcome(hello: Hello) = Welcome(
            sender = DaemonId("sidecar-${settings.endpoint.value}"),
            incarnation = incarnation,
            tableVersion = tableVersion,
            endpoint = settings.endpoint,
            dataCentre = settings.dataCentre,
            leaving = status.leaving,
            load = status.load,
        )

        override fun heartbeat() = Heartbeat(tableVersion, status.load)

        override suspend fun opened(connection: Long, hello: Hello, send: (Message) -> Boolean) {
            withContext(control) { senders[ConnectionId(connection)] = send }
            handle(GateEvent.ConnectionOpened(ConnectionId(connection)))
            catchUp(ConnectionId(connection), hello.tableVersion)
        }

        override suspend fun received(connection: Long, message: Message) {
            val id = ConnectionId(connection)
            when (message) {
                is AttemptMessage -> handle(GateEvent.MessageArrived(id, message))
                is Heartbeat -> catchUp(id, message.tableVersion)
                is Changes -> withContext(control) { tablesOffered(id, replica.merge(message.changes)) }
                is Snapshot -> withContext(control) { tablesOffered(id, replica.merge(message)) }
                is FetchChanges -> withContext(control) { replica.answer(message)?.let { senders[id]?.invoke(it) } }
                else -> log.warn { "sidecar: unexpected ${message::class.simpleName} on connection $connection" }
            }
        }

        override suspend fun closed(connection: Long) {
            withContext(control) { senders.remove(ConnectionId(connection)) }
            handle(GateEvent.ConnectionClosed(ConnectionId(connection)))
        }
    }

    private suspend fun catchUp(connection: ConnectionId, theirs: TableVersion) = withContext(control) {
        if (theirs > replica.version) senders[connection]?.invoke(FetchChanges(replica.version))
    }

    private fun tablesOffered(connection: ConnectionId, result: MergeResult) {
        result.breaches.forEach { log.error { "sidecar: refused to replace a table change: $it" } }
        if (result.grew) tablesChanged()
        senders[connection]?.invoke(Heartbeat(replica.version, status.load))
    }

    private fun tablesChanged() {
        tableVersion = replica.version
        val pool = replica.tables.pools.values.find { pool -> pool.endpoints.any { it.id == settings.endpoint } }
        if (pool != null) gate.changeLimits(GateLimits(pool.concurrency, settings.queueCapacity))
        log.info { "sidecar: tables are at version $tableVersion" }
    }

    private companion object {
        /** How often old ledger entries are looked for. */
        val TICK_INTERVAL = 1.seconds

        /** Time for the last frames to leave before connections are closed. */
        val FLUSH_PAUSE = 0.2.seconds
    }
}
