package org.bilberryhead.standin

import kotlinx.serialization.Serializable
import org.bilberryhead.core.common.DurationTextSerializer
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.daemon.CheckedSettings
import org.bilberryhead.daemon.SettingsError
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Settings of the stand-ins.
 *
 * @property listen where platform and endpoints are served
 * @property serviceTime time that an endpoint takes for one call at speed 1
 */
@Serializable
data class StandinSettings(
    val listen: SocketAddress,
    @Serializable(with = DurationTextSerializer::class) val serviceTime: Duration = 20.milliseconds,
    val endpoints: List<StandinEndpoint> = emptyList(),
) : CheckedSettings {
    override fun check(): List<SettingsError> = endpoints.groupBy { it.id }
        .filterValues { it.size > 1 }
        .keys
        .map { SettingsError("endpoints", "$it is listed twice") }
}

/**
 * One endpoint that the stand-in plays.
 *
 * @property speed calls are answered this many times faster than at speed 1
 */
@Serializable
data class StandinEndpoint(val id: String, val speed: Double = 1.0)
