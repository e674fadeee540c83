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
        val daemon = SidecarDaemon(settings, incarnation, MonotonicClock(), EndpointCaller(settings.endpointUrl))
        val registry = newMeterRegistry()
        daemon.start()
        val operations = embeddedServer(Netty, settings.operations.port, settings.operations.host) {
            routing { operationsRoutes(registry, daemon::whyNotReady) }
        }
        operations.start()
        signal.await()
        daemon.drain()
        signal.release()
    }
}

/** Starts a sidecar. */
fun main(arguments: Array<String>) = SidecarCommand().main(arguments)
