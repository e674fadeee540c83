package org.bilberryhead.forwarding

import com.github.ajalt.clikt.core.main
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CompletableDeferred
import org.bilberryhead.daemon.DaemonCommand
import org.bilberryhead.daemon.MonotonicClock
import org.bilberryhead.daemon.TerminationSignal
import org.bilberryhead.daemon.newMeterRegistry
import sun.misc.Signal
import kotlin.random.Random

/** The command `bilberry-forwarding`. */
class ForwardingCommand : DaemonCommand<ForwardingSettings>("bilberry-forwarding", ForwardingSettings.serializer()) {
    override suspend fun serve(settings: ForwardingSettings) {
        val signal = TerminationSignal(settings.drainLimit)
        val loop = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next()
        val thread = EventThread(loop as io.netty.channel.EventLoop, MonotonicClock())
        val metrics = ForwardingMetrics(newMeterRegistry())
        val daemon = ForwardingDaemon(settings, thread, metrics, Random.Default)
        daemon.start()
        Signal.handle(Signal("HUP")) { daemon.reload() }
        signal.await()
        val drained = CompletableDeferred<Unit>()
        daemon.drain { drained.complete(Unit) }
        drained.await()
        signal.release()
    }
}

/** Starts an entry. */
fun main(arguments: Array<String>) = ForwardingCommand().main(arguments)
