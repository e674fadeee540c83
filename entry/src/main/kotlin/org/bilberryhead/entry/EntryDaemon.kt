package org.bilberryhead.entry

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.server.application.Application
import io.ktor.server.application.install
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.routing.routing
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.bilberryhead.core.admission.AdmissionControl
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.execution.RequestIdGenerator
import org.bilberryhead.core.retry.RetryBudget
import org.bilberryhead.core.routing.PolicySelector
import org.bilberryhead.daemon.httpServer
import org.bilberryhead.daemon.newMeterRegistry
import org.bilberryhead.daemon.operationsRoutes
import org.bilberryhead.platform.HttpPlatform
import org.bilberryhead.platform.TableLog
import org.bilberryhead.platform.TableServiceClaimStore
import org.bilberryhead.platform.TableSnapshots
import java.io.IOException
import java.util.UUID
import kotlin.random.Random
import kotlin.time.Clock

private val log = KotlinLogging.logger("entry")

/** Constructs the components of an entry and runs them. */
class EntryDaemon(private val settings: EntrySettings, private val clock: Clock, private val files: EntryFiles) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val incarnation = UUID.randomUUID().toString()
    private val platform = HttpPlatform(settings.platformUrl)
    private val tableLog = TableLog(platform)
    private val control = ControlPlane(settings, tableLog, clock, scope, TableSnapshots(platform), platform)
    private val selector = PolicySelector(control.directory, settings.dataCentre, Random.Default)
    private val tracker = RequestTracker()
    private val registry = newMeterRegistry()
    private val metrics = EntryMetrics(registry)
    private val claims = TableServiceClaimStore(platform, clock, scope)
    private val callers = CallerRoutes(
        reader = CallerRequestReader({ control.tables }, files.tokens, settings.maximumBodyBytes),
        keys = KeyResolver(selector, claims, clock, scope, RequestIdGenerator("$incarnation-tickets")),
        outcomes = OutcomeLookup(control.directory, claims),
        runner = RequestRunner(
            control.directory,
            selector,
            clock,
            RetryBudget(),
            metrics,
            AdmissionControl.Predictive(selector),
        ),
        tracker = tracker,
        metrics = metrics,
        clock = clock,
        idGenerator = RequestIdGenerator(incarnation),
    )
    private val server = httpServer(settings.listen, files.tls) { module() }

    @Volatile
    private var isWarm = false

    init {
        control.selector = selector
        registerGauges()
    }

    /** Starts the components and the HTTP server, and returns after the warm-up. */
    suspend fun start() {
        control.start()
        scope.launch(Dispatchers.IO) { files.watcher.watch(settings.fileCheckInterval) }
        server.start()
        warmUp()
        log.info {
            "entry: ${settings.id} is serving on ${settings.listen}${if (files.tls == null) "" else " by HTTPS"}"
        }
    }

    private suspend fun warmUp() {
        val startedAt = clock.now()
        try {
            val responses = WarmUp(clock).run()
            log.info {
                "entry: warmed up with $responses requests in ${(clock.now() - startedAt).inWholeMilliseconds} ms"
            }
        } catch (failure: IOException) {
            log.warn { "entry: warm-up failed, the first requests will be slow: ${failure.message}" }
        }
        isWarm = true
    }

    /**
     * Shuts down gracefully: first the readiness check fails, then new requests are refused, then the requests in
     * flight complete. Requests that are still in flight after the drain limit are aborted.
     */
    suspend fun drain() {
        log.info { "entry: draining with ${tracker.requestsInFlight} requests in flight" }
        tracker.startDraining()
        delay(settings.drainDelay)
        tracker.close()
        withTimeoutOrNull(settings.drainLimit) { tracker.awaitIdle() }
            ?: log.warn { "entry: ${tracker.requestsInFlight} requests exceeded the drain limit and are aborted" }
        control.stop()
        server.stop(STOP_GRACE_MILLIS, STOP_TIMEOUT_MILLIS)
        log.info { "entry: stopped" }
    }

    private fun Application.module() {
        install(HttpRequestLifecycle) { cancelCallOnClose = true }
        routing {
            operationsRoutes(registry) { notReadyReason() }
            callers.install(this)
            OperatorRoutes(control, tableLog, files.tokens, tracker).install(this)
        }
    }

    private fun notReadyReason(): String? = when {
        tracker.isDraining -> "shutting down"
        control.tables.version == TableVersion.NONE -> "no tables yet"
        !isWarm -> "warming up"
        else -> null
    }

    private fun registerGauges() {
        files.watcher.registerGauges(registry, clock)
        metrics.gauge("bilberry.requests.in.flight", "Requests in flight") { tracker.requestsInFlight }
        metrics.gauge("bilberry.table.version", "Version of the tables in force") { control.tables.version.value }
        metrics.gauge("bilberry.table.age.seconds", "Time since the tables were last known to be the newest") {
            (clock.now() - control.tablesConfirmedAt).inWholeMilliseconds / MILLIS_PER_SECOND
        }
        metrics.gauge("bilberry.store.reachable", "1 when the table service answers") {
            if (control.isStoreReachable) 1 else 0
        }
        metrics.gauge("bilberry.sidecars.serving", "Sidecars that are connected and take work") {
            control.directory.subsetLinks.count { it.servingIncarnation != null }
        }
        metrics.gauge("bilberry.sidecars.leaving", "Sidecars that are connected and leaving") {
            control.directory.subsetLinks.count { it.isLeaving }
        }
        metrics.gauge("bilberry.sidecars.known", "Sidecars of all endpoints in the tables") {
            control.directory.subsetLinks.size
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val STOP_GRACE_MILLIS = 100L
        const val STOP_TIMEOUT_MILLIS = 2_000L
    }
}
