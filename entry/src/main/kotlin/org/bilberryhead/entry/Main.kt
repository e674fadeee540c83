package org.bilberryhead.entry

import com.github.ajalt.clikt.core.main
import org.bilberryhead.daemon.DaemonCommand
import org.bilberryhead.daemon.MonotonicClock
import org.bilberryhead.daemon.TerminationSignal

/** The command `bilberry-entry`. */
class EntryCommand : DaemonCommand<EntrySettings>("bilberry-entry", EntrySettings.serializer()) {
    override suspend fun serve(settings: EntrySettings) {
        val signal = TerminationSignal(settings.drainDelay + settings.drainLimit)
        val daemon = EntryDaemon(settings, MonotonicClock())
        daemon.start()
        signal.await()
        daemon.drain()
        signal.release()
    }
}

/** Starts an entry. */
fun main(arguments: Array<String>) = EntryCommand().main(arguments)
