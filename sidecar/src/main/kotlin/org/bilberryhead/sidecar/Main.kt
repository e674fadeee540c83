package org.bilberryhead.sidecar

import com.github.ajalt.clikt.core.main
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.ktor.server.routing.routing
import io.netty.handler.ssl.SslContext
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.daemon.DaemonCommand
import org.bilberryhead.daemon.FileWatcher
import org.bilberryhead.daemon.MonotonicClock
import org.bilberryhead.daemon.ReloadedValue
import org.bilberryhead.daemon.ServerTls
import org.bilberryhead.daemon.SettingsError
import org.bilberryhead.daemon.TerminationSignal
import org.bilberryhead.daemon.httpServer
import org.bilberryhead.daemon.newMeterRegistry
import org.bilberryhead.daemon.operationsRoutes
import java.util.UUID

/** The command `bilberry-sidecar`. */
class SidecarCommand : DaemonCommand<SidecarSettings>("bilberry-sidecar", SidecarSettings.serializer()) {
    private val clock = MonotonicClock()
    private var tls: ReloadedValue<SslContext>? = null

    override fun checkFiles(settings: SidecarSettings): List<SettingsError> {
        val loaded = settings.tls?.let { ReloadedValue.load(ServerTls(it), clock) } ?: return emptyList()
        tls = loaded.get()
        return loaded.getError().orEmpty()
    }

    override suspend fun serve(settings: SidecarSettings) {
        val signal = TerminationSignal(settings.drainLimit)
        val incarnation = Incarnation(UUID.randomUUID().toString())
        val registry = newMeterRegistry()
        val clock = MonotonicClock()
        val daemon = SidecarDaemon(
            settings = settings,
            incarnation = incarnation,
            clock = clock,
            caller = EndpointCaller(settings.endpointUrl, settings.maximumAnswerBytes),
            metrics = SidecarMetrics(registry),
            engineCalls = EngineOrderExecutor.of(settings, incarnation, clock),
            onBrokenInvariant = { Runtime.getRuntime().halt(EXIT_BROKEN_INVARIANT) },
        )
        val operations = httpServer(settings.operations, tls) {
            routing { operationsRoutes(registry, daemon::notReadyReason) }
        }
        operations.start()
        val fileWatcher = FileWatcher(listOfNotNull(tls))
        fileWatcher.registerGauges(registry, clock)
        warmUp(settings, incarnation)
        daemon.start()
        coroutineScope {
            val watching = launch(Dispatchers.IO) { fileWatcher.watch(settings.fileCheckInterval) }
            signal.await()
            daemon.drain()
            watching.cancel()
        }
        signal.release()
    }

    private suspend fun warmUp(settings: SidecarSettings, incarnation: Incarnation) {
        if (settings.tls == null) return WarmUp.run(settings.operations, incarnation)
        // Endpoints are called over plain HTTP, so the warm-up needs a server without TLS.
        val server = httpServer(SocketAddress("127.0.0.1", 0)) { }
        server.start()
        WarmUp.run(SocketAddress("127.0.0.1", server.engine.resolvedConnectors().first().port), incarnation)
        server.stop(0, STOP_TIMEOUT_MILLIS)
    }

    private companion object {
        /** Exit status after a broken invariant, because the ledger can no longer be trusted. */
        const val EXIT_BROKEN_INVARIANT = 70
        const val STOP_TIMEOUT_MILLIS = 500L
    }
}

/** Starts a sidecar. */
fun main(arguments: Array<String>) = SidecarCommand().main(arguments)
