package org.bilberryhead.entry

import com.github.ajalt.clikt.core.main
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.routing.routing
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.retry.RetryBudget
import org.bilberryhead.core.routing.LeastInFlightSelector
import org.bilberryhead.daemon.DaemonCommand
import org.bilberryhead.daemon.MonotonicClock
import org.bilberryhead.daemon.TerminationSignal
import org.bilberryhead.daemon.newMeterRegistry
import org.bilberryhead.daemon.operationsRoutes
import org.bilberryhead.platform.HttpPlatform
import org.bilberryhead.platform.TableLog
import org.bilberryhead.platform.TableSnapshots
import kotlin.random.Random

/** The command `bilberry-entry`. */
class EntryCommand : DaemonCommand<EntrySettings>("bilberry-entry", EntrySettings.serializer()) {
    override suspend fun serve(settings: EntrySettings) {
        val signal = TerminationSignal(settings.drainLimit)
        val clock = MonotonicClock()
        val platform = HttpPlatform(settings.platformUrl)
        val tableLog = TableLog(platform)
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        val control = ControlPlane(settings, tableLog, clock, scope, TableSnapshots(platform), platform)
        val selector = LeastInFlightSelector(control.directory, Random.Default)
        control.selector = selector
        val tokens = Tokens(settings.clientAccounts, settings.operators)
        val runner = RequestRunner(control.directory, selector, clock, RetryBudget())
        val registry = newMeterRegistry()
        control.start()
        val server = embeddedServer(Netty, settings.listen.port, settings.listen.host) {
            routing {
                operationsRoutes(registry) {
                    if (control.tables.version ==
                        TableVersion.NONE
                    ) {
                        "no tables yet"
                    } else {
                        null
                    }
                }
                CallerRoutes(control, runner, tokens, clock).install(this)
                OperatorRoutes(control, tableLog, tokens).install(this)
            }
        }
        server.start()
        signal.await()
        server.stop()
        signal.release()
    }
}

/** Starts an entry. */
fun main(arguments: Array<String>) = EntryCommand().main(arguments)
