package org.bilberryhead.daemon

import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.delay
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Reads the files behind [values] again when they change. */
class FileWatcher(private val values: List<ReloadedValue<*>>) {
    /** Shows the state of the files. */
    fun registerGauges(registry: MeterRegistry, clock: Clock) =
        values.forEach { registry.registerReloadGauges(it, clock) }

    /** Looks for changed files every [interval], for ever. */
    suspend fun watch(interval: Duration) {
        while (true) {
            delay(interval)
            check()
        }
    }

    /** Reads the files that have changed. Not to be called by two threads at once. */
    fun check() = values.forEach { it.check() }

    companion object {
        private val MINIMUM_INTERVAL = 100.milliseconds

        /** Returns the fault of the setting `fileCheckInterval`, if [interval] can not be used. */
        fun intervalError(interval: Duration): SettingsError? {
            if (interval >= MINIMUM_INTERVAL) return null
            return SettingsError("fileCheckInterval", "$interval is less than $MINIMUM_INTERVAL")
        }
    }
}
