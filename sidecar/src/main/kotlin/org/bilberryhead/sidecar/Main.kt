package org.bilberryhead.sidecar

import com.github.ajalt.clikt.core.main
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.routing.routing
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.daemon.DaemonCommand
import org.bilberryhead.daemon.MonotonicClock
import org.bilberryhead.daemon.TerminationSignal
import org.bilberryhead.daemon.newMeterRegistry
import org.bilberryhead.daemon.operationsRoutes
import java.util.UUID

/** The command `bilberry-sidecar`. */
class SidecarCommand : DaemonCommand<SidecarSettings>("bilberry-sidecar", SidecarSettings.serializer()) {
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
            engineCalls = EngineOrderCalls.of(settings, incarnation, clock),
            onBrokenInvariant = { Runtime.getRuntime().halt(EXIT_BROKEN_INVARIANT) },
        )
        val operations = embeddedServer(Netty, settings.operations.port, settings.operations.host) {
            routing { operationsRoutes(registry, daemon::whyNotReady) }
        }
        operations.start()
        WarmUp.run(settings.operations, incarnation)
        daemon.start()
        signal.await()
        daemon.drain()
        signal.release()
    }

    private companion object {
        /** Exit status after a broken invariant: the ledger can not be trusted any more. */
        const val EXIT_BROKEN_INVARIANT = 70
    }
}

/** Starts a sidecar. */
fun main(arguments: Array<String>) = SidecarCommand().main(arguments)
