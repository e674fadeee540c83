package org.bilberryhead.entry

import com.github.ajalt.clikt.core.main
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.onSuccess
import org.bilberryhead.daemon.DaemonCommand
import org.bilberryhead.daemon.MonotonicClock
import org.bilberryhead.daemon.SettingsError
import org.bilberryhead.daemon.TerminationSignal

/** The command `bilberry-entry`. */
class EntryCommand : DaemonCommand<EntrySettings>("bilberry-entry", EntrySettings.serializer()) {
    private val clock = MonotonicClock()
    private lateinit var files: EntryFiles

    override fun checkFiles(settings: EntrySettings): List<SettingsError> =
        EntryFiles.load(settings, clock).onSuccess { files = it }.getError().orEmpty()

    override suspend fun serve(settings: EntrySettings) {
        val signal = TerminationSignal(settings.drainDelay + settings.drainLimit)
        val daemon = EntryDaemon(settings, clock, files)
        daemon.start()
        signal.await()
        daemon.drain()
        signal.release()
    }
}

/** Starts an entry. */
fun main(arguments: Array<String>) = EntryCommand().main(arguments)
