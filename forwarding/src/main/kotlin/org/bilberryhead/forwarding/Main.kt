package org.bilberryhead.forwarding

import com.github.ajalt.clikt.core.main
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CompletableDeferred
import org.bilberryhead.daemon.DaemonCommand
import org.bilberryhead.daemon.MonotonicClock
import org.bilberryhead.daemon.TerminationSignal
import org.bilberryhead.daemon.newMeterRegistry
import sun.misc.Signal
import kotlin.random.Random
import kotlin.system.exitProcess

/** The command `bilberry-forwarding`. */
class ForwardingCommand : DaemonCommand<ForwardingSettings>("bilberry-forwarding", ForwardingSettings.serializer()) {
    override suspend fun serve(settings: ForwardingSettings) {
        val signal = TerminationSignal(settings.drainLimit)
        val daemon = startDaemon(settings)
        Signal.handle(Signal("HUP")) { daemon.reload() }
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

private fun startDaemon(settings: ForwardingSettings): ForwardingDaemon {
    val metrics = ForwardingMetrics(newMeterRegistry())
    val daemon = ForwardingDaemon(settings, newEventThread(), metrics, Random.Default)
    daemon.start()
    return daemon
}

private const val TRAINING_OPTION = "--training-run"

/** Starts an entry; with `--training-run` only serves a few requests of its own on loopback and ends. */
fun main(arguments: Array<String>) {
    if (TRAINING_OPTION in arguments) {
        // The settings given beside the option are read and checked, so that the archive holds what reading takes.
        val others = arguments.filter { it != TRAINING_OPTION }
        if (others.isNotEmpty()) ForwardingCommand().main(others)
        val answered = TrainingRun(::newEventThread) { startDaemon(it) }.run()
        exitProcess(if (answered > 0) 0 else 1)
    }
    ForwardingCommand().main(arguments)
}
