package org.bilberryhead.standin

import com.github.ajalt.clikt.core.main
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import org.bilberryhead.daemon.DaemonCommand

/** The command `bilberry-standin`: serves simulated platform services, endpoints, engines and relays in one process. */
class StandinCommand : DaemonCommand<StandinSettings>("bilberry-standin", StandinSettings.serializer()) {
    override suspend fun serve(settings: StandinSettings) {
        val platform = PlatformStandin()
        val endpoints = EndpointStandin(settings)
        val engines = EngineStandin(settings.endpoints)
        val relays = RelayStandin(settings.relays)
        relays.start()
        val server = embeddedServer(Netty, settings.listen.port, settings.listen.host) {
            routing {
                get("/health/ready") { call.respondText("ready\n") }
                platform.install(this)
                endpoints.install(this)
                engines.install(this)
                relays.install(this)
            }
        }
        server.start(wait = true)
    }
}

/** Entry point of the command `bilberry-standin`. */
fun main(arguments: Array<String>) = StandinCommand().main(arguments)
