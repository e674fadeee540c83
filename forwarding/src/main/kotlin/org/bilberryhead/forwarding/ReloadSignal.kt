package org.bilberryhead.forwarding

import io.github.oshai.kotlinlogging.KotlinLogging
import sun.misc.Signal
import sun.misc.SignalHandler

private val log = KotlinLogging.logger {}

/**
 * Reloads the settings when the process is told that they changed. A signal that comes before [onReload] is remembered,
 * because the settings may have been read before it. Safe for use by several threads.
 */
internal class ReloadSignal : SignalHandler {
    private var isIgnored = false
    private var isPending = false
    private var reload: (() -> Unit)? = null

    /** Handles the signal from now on; the JVM does not pass on one that was ignored when the process started. */
    @Synchronized
    fun install() {
        isIgnored = Signal.handle(Signal(NAME), this) == SignalHandler.SIG_IGN
    }

    /** Reloads the settings, or remembers to do so. Reloads run one after another, so that the newest settings win. */
    @Synchronized
    override fun handle(signal: Signal) {
        reload?.invoke() ?: run { isPending = true }
    }

    /** Calls [reload] for every signal from now on, and once now if any came before. */
    @Synchronized
    fun onReload(reload: () -> Unit) {
        this.reload = reload
        if (isIgnored) {
            log.atWarn {
                message = "settings are not reloaded on SIGHUP, because the process was started with it ignored"
            }
        }
        if (!isPending) return
        isPending = false
        reload()
    }

    companion object {
        /** Name of the signal that says that the settings changed. */
        const val NAME = "HUP"
    }
}
