package org.bilberryhead.daemon

import com.github.ajalt.clikt.core.main
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import kotlinx.coroutines.CompletableDeferred
import kotlinx.serialization.Serializable
import kotlin.time.Duration.Companion.seconds

@Serializable
internal data class DrainingSettings(val answer: String) : CheckedSettings {
    override fun check() = emptyList<SettingsError>()
}

/** A daemon that drains after SIGTERM until an HTTP request to `/end` completes the drain. */
internal class DrainingDaemon : DaemonCommand<DrainingSettings>("draining", DrainingSettings.serializer()) {
    override suspend fun serve(settings: DrainingSettings) {
        val signal = TerminationSignal(30.seconds)
        val drained = CompletableDeferred<Unit>()
        val server = embeddedServer(Netty, port = 0, host = "127.0.0.1") {
            routing {
                get("/work") { call.respondText(settings.answer) }
                get("/end") { call.respondText("ending").also { drained.complete(Unit) } }
            }
        }
        server.start()
        println("port ${server.engine.resolvedConnectors().first().port}")
        signal.await()
        println("draining")
        drained.await()
        server.stop(0, 0)
        signal.release()
    }
}

internal fun main(arguments: Array<String>) = DrainingDaemon().main(arguments)
