package org.bilberryhead.daemon

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import kotlin.time.Clock
import kotlin.time.DurationUnit

/** Registers gauges for whether the files of [value] are valid, and for the age of its current content. */
fun MeterRegistry.registerReloadGauges(value: ReloadedValue<*>, clock: Clock) {
    Gauge.builder("bilberry.files.valid") { if (value.isValid) 1 else 0 }
        .description("1 when the files named by the setting hold what is in force, 0 when they have faults")
        .tag("setting", value.setting)
        .register(this)
    Gauge.builder("bilberry.files.age.seconds") { (clock.now() - value.loadedAt).toDouble(DurationUnit.SECONDS) }
        .description("Time since the files that hold what is in force were read")
        .tag("setting", value.setting)
        .register(this)
}
