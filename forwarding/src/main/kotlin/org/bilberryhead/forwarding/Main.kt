package org.bilberryhead.forwarding

import com.github.ajalt.clikt.core.main
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CompletableDeferred
import kotlinx.serialization.json.Json
import org.bilberryhead.daemon.DaemonCommand
import org.bilberryhead.daemon.MonotonicClock
import org.bilberryhead.daemon.TerminationSignal
import org.bilberryhead.daemon.newMeterRegistry
import kotlin.concurrent.thread
import kotlin.io.path.createTempFile
import kotlin.io.path.writeText
import kotlin.random.Random
import kotlin.system.exitProcess

/** The command `bilberry-forwarding`, which reloads its settings on [reloadSignal]. */
internal class ForwardingCommand(private val reloadSignal: ReloadSignal) :
    DaemonCommand<ForwardingSettings>("bilberry-forwarding", ForwardingSettings.serializer()) {
    override suspend fun serve(settings: ForwardingSettings) {
        val signal = TerminationSignal(settings.drainLimit)
        val daemon = ForwardingDaemon(settings, newEventThread(), ForwardingMetrics(newMeterRegistry()), Random.Default)
        daemon.start()
        reloadSignal.onReload { daemon.reload(readSettings()) }
        signal.await()
        val drained = CompletableDeferred<Unit>()
        daemon.drain { drained.complete(Unit) }
        drained.await()
        signal.release()
    }
}

private fun newEventThread(): EventThread {
    val loop = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next() as EventLoop
    return EventThread(loop, MonotonicClock())
}

private const val TRAINING_OPTION = "--training-run"

/** Starts the command with [settings] in a temporary file, as on a command line. */
private fun startCommand(settings: ForwardingSettings, reloadSignal: ReloadSignal) {
    val file = createTempFile("training", ".json")
    file.toFile().deleteOnExit()
    file.writeText(Json.encodeToString(ForwardingSettings.serializer(), settings))
    thread(isDaemon = true) { ForwardingCommand(reloadSignal).main(listOf("--settings", file.toString())) }
}

/** Starts an entry. With `--training-run`, sends itself a few requests on loopback and exits instead. */
fun main(arguments: Array<String>) {
    // Comes before everything else: until then, a SIGHUP ends the process.
    val reloadSignal = ReloadSignal()
    reloadSignal.install()
    if (TRAINING_OPTION in arguments) {
        val succeeded = TrainingRun(::newEventThread) { startCommand(it, reloadSignal) }.run()
        exitProcess(if (succeeded > 0) 0 else 1)
    }
    ForwardingCommand(reloadSignal).main(arguments)
}
