package org.bilberryhead.forwarding

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.handler.codec.http.FullHttpRequest
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.memory.BodyAdmission
import org.bilberryhead.core.memory.MemoryBudget
import org.bilberryhead.core.memory.MemoryKind
import org.bilberryhead.core.serving.CallerLimits
import org.bilberryhead.core.serving.ColdStartLimit
import org.bilberryhead.core.serving.CoordinatorDrain
import org.bilberryhead.core.serving.DrainAdmission
import org.bilberryhead.core.serving.EndpointDirectory
import org.bilberryhead.core.serving.EndpointEntry
import org.bilberryhead.core.serving.EnginePlacement
import org.bilberryhead.core.serving.PieceEndpointChooser
import org.bilberryhead.core.serving.ResultHandle
import org.bilberryhead.core.serving.ServingPool
import org.bilberryhead.core.serving.SharedRetryBudget
import org.bilberryhead.daemon.SettingsError
import org.bilberryhead.forwarding.caller.CallerServer
import org.bilberryhead.forwarding.caller.CallerServerState
import org.bilberryhead.forwarding.endpoint.ColdEndpoints
import org.bilberryhead.forwarding.endpoint.EndpointAnnouncements
import org.bilberryhead.forwarding.endpoint.Endpoints
import org.bilberryhead.forwarding.http.Connector
import org.bilberryhead.forwarding.http.ResponseHead
import org.bilberryhead.forwarding.http.SimpleHttpResponse
import org.bilberryhead.forwarding.http.SimpleHttpServer
import org.bilberryhead.forwarding.http.SingleExchange
import org.bilberryhead.forwarding.membership.MembershipService
import org.bilberryhead.forwarding.peer.PeerCatchUp
import org.bilberryhead.forwarding.peer.PeerClient
import org.bilberryhead.forwarding.peer.PeerHandler
import org.bilberryhead.forwarding.peer.Peers
import org.bilberryhead.forwarding.quarantine.QuarantineService
import org.bilberryhead.forwarding.request.ConnectionWaitQueue
import org.bilberryhead.forwarding.request.RequestAdmission
import org.bilberryhead.forwarding.request.ServingContext
import org.bilberryhead.forwarding.stage.ResultReleaser
import org.bilberryhead.forwarding.stage.StageContext
import org.bilberryhead.forwarding.stage.StageCoordinatorClient
import org.bilberryhead.forwarding.stage.StageScheduler
import org.bilberryhead.forwarding.store.ConfigurationListener
import org.bilberryhead.forwarding.store.EndpointListener
import org.bilberryhead.forwarding.store.EvacuationListener
import org.bilberryhead.forwarding.store.StoreClient
import org.bilberryhead.forwarding.store.StoreCopy
import org.bilberryhead.forwarding.store.StoreTableWatch
import org.bilberryhead.forwarding.store.TableListeners
import org.bilberryhead.forwarding.store.WatchTimings
import org.bilberryhead.platform.wire.WireHeaders
import org.bilberryhead.platform.wire.WirePaths
import org.bilberryhead.platform.wire.WireTables
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val log = KotlinLogging.logger {}

/** An entry: forwards callers' requests to endpoints. All of its state is confined to [thread]. */
internal class ForwardingDaemon(
    private var settings: ForwardingSettings,
    private val thread: EventThread,
    private val metrics: ForwardingMetrics,
    private val random: Random,
) {
    private val decisions = DecisionLog(settings.decisionLinesPerSecond, thread::now)
    private val memory = MemoryBudget.ofHeap(Runtime.getRuntime().maxMemory())
    private val connector = Connector(thread, WireHeaders.REQUEST_ID, memory)
    private val exchange = SingleExchange(thread, connector)
    private val store = StoreClient(settings.store, thread, connector, decisions, metrics, random)
    private val membership = MembershipService(settings, thread, store.writer, decisions, random)
    private val quarantine = QuarantineService(settings.id, thread, store.writer, decisions, metrics, random)
    private val peers = Peers(settings.id, membership::members) { PeerClient(it, thread, decisions, connector) }
    private val directory = EndpointDirectory()
    private val coldStartLimit = ColdStartLimit(settings.id, membership::knownIds)
    private val coldEndpoints = ColdEndpoints(thread, directory, ::poolOf, decisions, coldStartLimit)
    private val endpoints = Endpoints(thread, connector, directory, ::poolOf, membership::shareCount, coldEndpoints)
    private val connectionWaitQueue = ConnectionWaitQueue()
    private val releaser = ResultReleaser(thread, memory, endpoints::byAddress, endpoints::mayRelease)
    private val stageSchedulers = mutableMapOf<PoolName, StageScheduler>()
    private val stageClients = mutableMapOf<PoolName, StageCoordinatorClient>()
    private val servingContext = ServingContext(
        thread = thread,
        endpoints = endpoints,
        retryBudget = SharedRetryBudget(settings.retryLimits, membership::shareCount),
        placement = EnginePlacement(settings.dataCentre),
        stageClient = ::stageClient,
        connectionWaitQueue = connectionWaitQueue,
        quarantine = quarantine,
        decisions = decisions,
        metrics = metrics,
        random = random,
        memory = memory,
    ).also { it.hedging.ratio = settings.hedgeRatio }
    private val admission = RequestAdmission(servingContext)
    private val endpointListener =
        EndpointListener(directory, endpoints, thread, decisions, connectionWaitQueue::dispatchAll)
    private val announcements = EndpointAnnouncements(
        directory,
        endpoints,
        thread,
        decisions,
        endpointListener::apply,
        onRest = connectionWaitQueue::dispatch,
    )
    private val configurationListener = ConfigurationListener(decisions) {
        servingContext.matcher = it
        connectionWaitQueue.dispatchAll()
    }
    private val evacuationListener = EvacuationListener(decisions, thread::now, { operatorWatch.lastResponseAt }) {
        coldEndpoints.evacuationsChanged(it)
        directory.evacuated = it
        connectionWaitQueue.dispatchAll()
    }
    private val operatorWatch: StoreTableWatch =
        store.watch(
            WireTables.OPERATOR,
            WatchTimings.forConfiguration(settings.configurationDelay),
            // Evacuations first, so that nothing is sent by a new configuration to an evacuated data centre.
            TableListeners(evacuationListener, configurationListener),
        )
    private val endpointWatch =
        store.watch(WireTables.ENDPOINTS, WatchTimings.forEndpoints(settings.drainNotice), endpointListener)
    private val storeCopy = StoreCopy(
        thread,
        operatorWatch,
        endpointWatch,
        configurationListener,
        evacuationListener,
        endpointListener,
        membership,
    )
    private val callers =
        CallerServer(thread, CallerState { configuredLimits ?: DEFAULT_LIMITS }, BodyAdmission(memory), admission)
    private val peerHandler = PeerHandler(thread, ::stageScheduler, storeCopy::snapshot) { drainingSince != null }
    private val peerBodies = BodyAdmission(memory, MemoryKind.PEER_REQUEST_BODY)
    private val peerServer = CallerServer(thread, CallerState { DEFAULT_LIMITS }, peerBodies, peerHandler)
    private var drainingSince: Instant? = null

    private val stageContext = object : StageContext {
        override val thread: EventThread get() = this@ForwardingDaemon.thread
        override val exchange: SingleExchange get() = this@ForwardingDaemon.exchange
        override val decisions: DecisionLog get() = this@ForwardingDaemon.decisions
        override val isDraining: Boolean get() = drainingSince != null

        override fun release(handles: List<ResultHandle>, onReleased: (ResultHandle) -> Unit) =
            releaser.release(handles, onReleased)

        override fun releaseThroughCoordinators(handles: List<ResultHandle>) = handles
            .groupBy { endpoints.poolOf(it) }
            .forEach { (pool, poolHandles) -> pool?.let(::stageClient)?.release(poolHandles) }

        override fun usableEndpoints(pool: PoolName): List<EndpointEntry> =
            directory.usable(pool).filterNot(endpoints::isResting)

        override fun timeUntilFirstReturn(pool: PoolName): Duration? = endpoints.timeUntilFirstReturn(pool)

        override fun maximumCalls(entry: EndpointEntry): Int = endpoints.maximumCalls(entry)

        override fun callSent(entry: EndpointEntry) = coldEndpoints.recordSent(entry)

        override fun obstacleTo(entry: EndpointEntry): String? = endpoints.obstacleTo(entry)

        override fun headReceived(entry: EndpointEntry, head: ResponseHead) = announcements.headReceived(entry, head)
    }

    /** Opens the listeners and starts to watch the store. Throws `IOException` when an address cannot be bound. */
    fun start() {
        endpoints.onConnectionAvailable = connectionWaitQueue::dispatch
        endpoints.onHeadReceived = announcements::headReceived
        callers.listen(settings.callers)
        SimpleHttpServer(thread, ::respondToReadinessCheck).listen(settings.readiness)
        peerServer.listen(settings.peers)
        SimpleHttpServer(thread) { SimpleHttpResponse(OK, metrics.scrape()) }.listen(settings.metrics)
        metrics.gauge("bilberry.requests.running", "Requests that are being served") { admission.runningCount }
        metrics.gauge("bilberry.pieces.waiting", "Pieces that wait for a call of this coordinator") {
            stageSchedulers.values.sumOf { it.waitingCount }
        }
        metrics.gauge("bilberry.members", "Entries that share the limits, as this entry knows them") {
            membership.members.size
        }
        metrics.gauge("bilberry.endpoints.resting", "Endpoints that have asked for rest and get nothing now") {
            endpoints.rests.restingCount(thread.now())
        }
        metrics.gauge("bilberry.endpoints.evacuated", "Endpoints that get nothing because of an evacuation") {
            directory.evacuatedCount
        }
        metrics.gauge("bilberry.endpoints.cold", "Endpoints that are cold and get few requests") {
            coldEndpoints.count
        }
        metrics.gauge("bilberry.quarantine.parts", "Parts of prompts that are refused because they crash endpoints") {
            quarantine.quarantinedCount
        }
        metrics.gauge("bilberry.failures.unexpected", "Exceptions that no part of the program expected") {
            thread.failureCount
        }
        MemoryKind.entries.forEach { kind ->
            metrics.memoryHeld(kind) { memory.held(kind) }
        }
        thread.loop.execute(::watchStore)
        log.atInfo {
            message = "started"
            payload = mapOf("entry" to settings.id.value, "callers" to settings.callers.toString())
        }
    }

    private fun watchStore() {
        operatorWatch.start()
        endpointWatch.start()
        store.watch(WireTables.ENTRIES, WatchTimings.forEntries, membership.entries).start()
        store.watch(WireTables.LEASES, WatchTimings.forLeases(membership.renewalInterval), membership.leases).start()
        store.watch(WireTables.CRASHES, WatchTimings.forCrashReports, quarantine.reports).start()
        quarantine.start(membership::isRemover)
        PeerCatchUp(thread, exchange, storeCopy, decisions, ::peerAddresses).start()
        membership.start { endpointWatch.lastResponseAt }
        thread.every(EXPIRY_CHECK_INTERVAL) {
            endpointListener.removeExpired()
            evacuationListener.endMissing()
            coldEndpoints.update()
            // This entry's share of the connections may have grown.
            connectionWaitQueue.dispatchAll()
        }
        thread.every(DECAY_INTERVAL) { endpoints.decaySlowdown() }
    }

    private fun peerAddresses() =
        (settings.seeds + membership.members.map { it.peerAddress }).distinct().filter { it != settings.peers }

    /**
     * Starts a graceful shutdown: registers this entry as leaving, finishes its requests and calls for other entries
     * within the drain limit, then calls [ended].
     */
    fun drain(ended: () -> Unit) = thread.loop.execute {
        val now = thread.now()
        drainingSince = now
        servingContext.drain = DrainAdmission(startedAt = now, endsAt = now + settings.drainLimit - DRAIN_RESERVE)
        membership.leave()
        log.atInfo {
            message = "draining"
            payload = mapOf("requests" to admission.runningCount)
        }
        awaitDrained(now, ended)
    }

    private fun awaitDrained(since: Instant, ended: () -> Unit) {
        val now = thread.now()
        val elapsed = now - since
        val endsAt = since + settings.drainLimit - DRAIN_RESERVE
        // A failure must not keep the entry from ending its requests in time.
        thread.runGuarded("drain") { continueDrain(elapsed, endsAt) }
        val isIdle = admission.runningCount == 0 && !callers.isBusy && !peerServer.isBusy
        if (now >= endsAt || (isIdle && elapsed >= BALANCER_REMOVAL_TIME)) return endDrain(elapsed, ended)
        thread.after(minOf(DRAIN_CHECK_INTERVAL, endsAt - now)) { awaitDrained(since, ended) }
    }

    private fun continueDrain(elapsed: Duration, endsAt: Instant) {
        peerHandler.drain(CoordinatorDrain(endsAt))
        if (elapsed >= BALANCER_REMOVAL_TIME) callers.closeIdle()
        admission.refuseBarred()
        if (elapsed >= settings.drainLimit / 2) admission.refuseUnsent()
    }

    private fun endDrain(elapsed: Duration, ended: () -> Unit) {
        val unfinished = admission.runningCount
        admission.terminateAll()
        // A request that is read between now and the end of the process would get no response.
        stopServers {
            log.atInfo {
                message = "stopped"
                payload = mapOf("requests_left" to unfinished, "after_ms" to elapsed.inWholeMilliseconds)
            }
            ended()
        }
    }

    private fun stopServers(stopped: () -> Unit) {
        val running = mutableSetOf(callers, peerServer)
        running.toList().forEach { server ->
            server.stop {
                running -= server
                if (running.isEmpty()) stopped()
            }
        }
    }

    /** Applies the reloaded settings in [result]; those that cannot change at run time need a restart. */
    fun reload(result: Result<ForwardingSettings, List<SettingsError>>) = thread.loop.execute {
        result.onSuccess(::applySettings).onFailure { errors ->
            log.atWarn {
                message = "reload refused, the settings stay as they are"
                payload = mapOf("faults" to errors.joinToString("; "))
            }
        }
    }

    private fun applySettings(changed: ForwardingSettings) {
        settings = settings.withReloadable(changed)
        decisions.linesPerSecond = settings.decisionLinesPerSecond
        servingContext.retryBudget.limits = settings.retryLimits
        servingContext.hedging.ratio = settings.hedgeRatio
        log.atInfo {
            message = "reloaded"
            payload = mapOf(
                "retry_ratio" to settings.retryRatio,
                "retry_slack" to settings.retrySlack,
                "hedge_ratio" to settings.hedgeRatio,
                "seeds" to settings.seeds.size,
                "waits_for_start" to (settings != changed),
                "configuration" to servingContext.matcher?.configuration?.version,
            )
        }
    }

    private fun poolOf(pool: PoolName): ServingPool? = servingContext.matcher?.configuration?.pools?.get(pool)

    private fun stageScheduler(pool: PoolName): StageScheduler? {
        val profile = poolOf(pool)?.pieceProcessing ?: return null
        return stageSchedulers.getOrPut(pool) {
            StageScheduler(pool, profile, stageContext, PieceEndpointChooser(profile))
        }
    }

    private fun stageClient(pool: PoolName): StageCoordinatorClient? {
        val localScheduler = stageScheduler(pool) ?: return null
        return stageClients.getOrPut(pool) {
            StageCoordinatorClient(pool, localScheduler, peers, servingContext.retryBudget, thread) {
                drainingSince != null
            }
        }
    }

    private fun respondToReadinessCheck(request: FullHttpRequest): SimpleHttpResponse {
        val isReady = drainingSince == null && servingContext.matcher != null && !directory.isEmpty
        return if (request.uri() == WirePaths.READY && isReady) SimpleHttpResponse(OK) else SimpleHttpResponse(UNREADY)
    }

    private val configuredLimits: CallerLimits? get() = servingContext.matcher?.configuration?.limits

    /** What the connections of a server depend on; other entries are not bound by the limits for callers. */
    private inner class CallerState(private val currentLimits: () -> CallerLimits) : CallerServerState {
        override fun now(): Instant = thread.now()

        override val limits: CallerLimits get() = currentLimits()

        override val isDraining: Boolean get() = drainingSince != null

        override fun recordFailure(failure: Throwable) = thread.recordFailure(failure, SERVING)

        override fun runGuarded(block: () -> Unit): Boolean = thread.runGuarded(SERVING, block)

        override fun rejected(status: Int, reason: String) {
            metrics.rejectedUnread(status)
            decisions.write("request rejected unread") { mapOf("status" to status, "reason" to reason) }
        }
    }

    private companion object {
        const val OK = 200
        const val UNREADY = 503
        const val SERVING = "serving a caller"
        val EXPIRY_CHECK_INTERVAL = 200.milliseconds
        val DECAY_INTERVAL = 1.seconds
        val DRAIN_CHECK_INTERVAL = 100.milliseconds

        /** Part of the drain limit that remains after the last requests are terminated. */
        val DRAIN_RESERVE = 300.milliseconds

        /** The balancer removes an entry after two failed readiness checks, which are a second apart. */
        val BALANCER_REMOVAL_TIME = 3.seconds
        val DEFAULT_LIMITS = CallerLimits(
            headerBytes = 16_384,
            bodyBytes = 4_194_304,
            headerTimeout = 3.seconds,
            idleTimeout = 15.seconds,
        )
    }
}
