package org.bilberryhead.daemon

import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.delay
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Reloads each of [values] when its files have changed. */
class FileWatcher(private val values: List<ReloadedValue<*>>) {
    /** Registers gauges for the validity and the age of each value. */
    fun registerGauges(registry: MeterRegistry, clock: Clock) =
        values.forEach { registry.registerReloadGauges(it, clock) }

    /** Checks the files every [interval] until cancelled. */
    suspend fun watch(interval: Duration) {
        while (true) {
            delay(interval)
            reloadChanged()
        }
    }

    /** Reloads the values whose files have changed. Must not be called concurrently. */
    fun reloadChanged() = values.forEach { it.reloadIfChanged() }

    companion object {
        private val MINIMUM_INTERVAL = 100.milliseconds

        /** Returns the error of the setting `fileCheckInterval`, or null if [interval] is valid. */
        fun intervalError(interval: Duration): SettingsError? {
            if (interval >= MINIMUM_INTERVAL) return null
            return SettingsError("fileCheckInterval", "$interval is less than $MINIMUM_INTERVAL")
        }
    }
}
