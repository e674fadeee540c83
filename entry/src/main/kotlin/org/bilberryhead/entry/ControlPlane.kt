package org.bilberryhead.entry

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.newSingleThreadContext
import kotlinx.coroutines.withContext
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.common.VmId
import org.bilberryhead.core.connection.HeartbeatBudget
import org.bilberryhead.core.membership.EndpointSubset
import org.bilberryhead.core.membership.ListedState
import org.bilberryhead.core.message.Heartbeat
import org.bilberryhead.core.message.Hello
import org.bilberryhead.core.message.LoadReport
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.message.Welcome
import org.bilberryhead.core.propagation.LinkId
import org.bilberryhead.core.propagation.PropagationAction
import org.bilberryhead.core.propagation.PropagationEvent
import org.bilberryhead.core.propagation.PropagationTimings
import org.bilberryhead.core.propagation.PublishedTables
import org.bilberryhead.core.propagation.TablePropagation
import org.bilberryhead.core.propagation.tableEvent
import org.bilberryhead.core.routing.EndpointSelector
import org.bilberryhead.core.tables.Endpoint
import org.bilberryhead.core.tables.TableChange
import org.bilberryhead.core.tables.Tables
import org.bilberryhead.platform.TableLog
import org.bilberryhead.platform.TableLogReader
import org.bilberryhead.platform.TableSnapshots
import org.bilberryhead.platform.VmList
import org.bilberryhead.platform.VmState
import org.bilberryhead.protocol.MessageCodec
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val log = KotlinLogging.logger("control")

/**
 * Owns the tables and the membership of an entry on one control thread, and publishes immutable snapshots of them.
 *
 * @param snapshots stores complete tables for processes that start; null to store none
 * @param vmList the platform's list of VMs; null to ignore VM states
 */
@OptIn(ExperimentalCoroutinesApi::class)
class ControlPlane(
    internal val settings: EntrySettings,
    tableLog: TableLog,
    internal val clock: Clock,
    private val scope: CoroutineScope,
    private val snapshots: TableSnapshots? = null,
    private val vmList: VmList? = null,
    random: Random = Random.Default,
    timings: PropagationTimings = propagationTimings(settings),
) : LinkOwner,
    TableExchange {
    private val control = newSingleThreadContext("control")
    private val propagation = TablePropagation(random, timings)
    private val reader = TableLogReader(tableLog, snapshots)
    private val selectorManager = SelectorManager(Dispatchers.IO)
    private val senders = HashMap<LinkId, (Message) -> Boolean>()
    private val sidecarIds = ConcurrentHashMap<LinkId, DaemonId>()
    private val linkIds = ConcurrentHashMap<SidecarLink, LinkId>()
    private val linkCounter = AtomicLong()
    private val loadReports = ConcurrentHashMap<EndpointId, LoadReport>()
    private val pendingAcceptances = HashMap<TableVersion, MutableList<CompletableDeferred<Int>>>()
    private val peers =
        PeerLinks(settings, Incarnation(UUID.randomUUID().toString()), this, selectorManager, scope, clock)
    private val published = PublishedTables()
    private var timer: Job? = null

    /** Links to the sidecars of the endpoints that this entry connects to. */
    val directory = SidecarDirectory(this, selectorManager, scope, clock, subsetOf(settings))

    /** Selects endpoints from load reports; set once while the daemon is constructed. */
    lateinit var selector: EndpointSelector

    /** The current tables; read by request threads. */
    val tables: Tables get() = published.tables

    /** Whether the last call to the table service succeeded. */
    @Volatile
    var isStoreReachable: Boolean = false
        private set

    /** Start of the last log read that found no version newer than the current tables. */
    @Volatile
    var tablesConfirmedAt: Instant = clock.now()
        private set

    override val reportedVersion: TableVersion get() = tables.version

    /** Each pair of peers has two connections: each peer opens one. */
    override val idleInterval: Duration
        get() = HeartbeatBudget.idleInterval(directory.linkCount + 2 * settings.peers.size)

    /** Starts to follow the table log, the peers and the VM list. */
    suspend fun start() {
        peers.start()
        handle(PropagationEvent.TimerDue)
        scope.launch { membershipLoop() }
    }

    /** Closes the connections to other processes. */
    fun stop() = peers.stop()

    /**
     * Publishes [change], which is confirmed to be in the log, and waits until another process holds it, unless this
     * entry knows of no other process. Returns the number of other processes that hold it.
     */
    suspend fun publishCommitted(change: TableChange): Int {
        val accepted = CompletableDeferred<Int>()
        withContext(control) { pendingAcceptances.getOrPut(change.version) { mutableListOf() } += accepted }
        handle(PropagationEvent.Committed(change))
        return accepted.await()
    }

    /** Reads the log immediately, without waiting for the next poll. */
    suspend fun refresh() = readLog(tables.version)

    /** Returns the number of other live processes known to hold [version]. */
    suspend fun holders(version: TableVersion): Int = withContext(control) { propagation.holderCount(version) }

    /** Returns what this entry knows of its peers and sidecars. */
    suspend fun view(): ControlView = withContext(control) {
        ControlView(
            peers = peers.status(propagation::versionOf),
            sidecarVersions = directory.subsetLinks.associate { link ->
                link.endpoint.id to sidecarIds[idOf(link)]?.let(propagation::versionOf)
            },
            loadReports = loadReports.toMap(),
        )
    }

    override fun hello() = Hello(MessageCodec.PROTOCOL_VERSION, settings.id, tables.version)

    override fun heartbeat() = Heartbeat(tables.version)

    override fun loadReported(endpoint: Endpoint, load: LoadReport) {
        loadReports[endpoint.id] = load
        selector.recordLoad(endpoint.id, load, clock.now())
    }

    override suspend fun handshakeCompleted(link: SidecarLink, welcome: Welcome) {
        sidecarIds[idOf(link)] = welcome.sender
        linkOpened(idOf(link), welcome.sender, welcome.tableVersion, link::trySend)
    }

    override suspend fun versionReported(link: SidecarLink, version: TableVersion) =
        tableMessageReceived(link, Heartbeat(version))

    override suspend fun tableMessageReceived(link: SidecarLink, message: Message) {
        val daemon = sidecarIds[idOf(link)] ?: return
        tableEvent(idOf(link), daemon, message)?.let { onLinkEvent(it) }
    }

    override suspend fun connectionLost(link: SidecarLink) {
        sidecarIds.remove(idOf(link))
        onLinkEvent(PropagationEvent.LinkClosed(idOf(link)))
    }

    override suspend fun linkOpened(
        link: LinkId,
        daemon: DaemonId,
        version: TableVersion,
        send: (Message) -> Boolean,
    ) {
        withContext(control) { senders[link] = send }
        handle(PropagationEvent.VersionReported(link, daemon, version))
    }

    override suspend fun onLinkEvent(event: PropagationEvent) {
        handle(event)
        if (event is PropagationEvent.LinkClosed) withContext(control) { senders.remove(event.link) }
    }

    private suspend fun handle(event: PropagationEvent) = withContext(control) {
        propagation.handle(event, clock.now()).forEach(::perform)
    }

    private fun perform(action: PropagationAction) {
        when (action) {
            is PropagationAction.ReadLog -> scope.launch { readLog(action.after) }
            is PropagationAction.StartTimer -> startTimer(action.at)
            is PropagationAction.Send -> senders[action.link]?.invoke(action.message)
            is PropagationAction.PublishTables -> publish(action.tables)
            is PropagationAction.ReportAccepted -> pendingAcceptances.remove(action.version)?.forEach {
                it.complete(action.holderCount)
            }
            is PropagationAction.StoreSnapshot -> scope.launch { snapshots?.write(action.snapshot) }
            is PropagationAction.ReportInvariantViolation ->
                log.error { "control: invariant violated: ${action.detail}" }
        }
    }

    private fun startTimer(at: Instant) {
        timer?.cancel()
        timer = scope.launch {
            delay(at - clock.now())
            handle(PropagationEvent.TimerDue)
        }
    }

    private suspend fun readLog(after: TableVersion) {
        val startedAt = clock.now()
        reader.read(after)
            .onSuccess { page ->
                isStoreReachable = true
                handle(PropagationEvent.LogRead(after, page))
                if (tables.version >= page.head) tablesConfirmedAt = startedAt
            }.onFailure { error ->
                if (isStoreReachable) log.warn { "control: table log was not read: ${error.detail}" }
                isStoreReachable = false
                handle(PropagationEvent.LogReadFailed(error.detail))
            }
    }

    private fun publish(newer: Tables) {
        published.publish(newer)
        directory.update(newer)
        log.info { "control: tables are at version ${newer.version}" }
    }

    private suspend fun membershipLoop() {
        while (true) {
            withContext(control) { directory.closeIdle() }.forEach { removeClosed(it) }
            readVmList()
            delay(MEMBERSHIP_INTERVAL)
        }
    }

    private suspend fun readVmList() {
        val source = vmList ?: return
        source.list()
            .onSuccess { list ->
                val states = list.associate { VmId(it.vm) to listedState(it.state) }
                withContext(control) { directory.updateVmStates(states) }
            }.onFailure { log.debug { "control: VM list was not read: ${it.detail}" } }
    }

    /** Cleans up after a link that this entry closed, because such a link does not report its own loss. */
    private suspend fun removeClosed(link: SidecarLink) {
        connectionLost(link)
        linkIds.remove(link)
    }

    /** Ids are per link: an endpoint that is removed from the tables and added again has two links for a while. */
    private fun idOf(link: SidecarLink): LinkId = linkIds.computeIfAbsent(link) {
        LinkId("sidecar of ${link.endpoint.id}, link ${linkCounter.incrementAndGet()}")
    }

    private companion object {
        /** How often the VM list is read and unused links are closed. */
        val MEMBERSHIP_INTERVAL: Duration = 1.seconds

        fun listedState(state: VmState): ListedState = when (state) {
            VmState.LIVE -> ListedState.LIVE
            VmState.LEAVING -> ListedState.LEAVING
        }

        fun propagationTimings(settings: EntrySettings) = PropagationTimings(pollInterval = settings.pollInterval)

        fun subsetOf(settings: EntrySettings): EndpointSubset {
            val self = settings.peerListen.toString()
            return EndpointSubset(self, settings.peers.map { it.toString() }.toSet() + self)
        }
    }
}
