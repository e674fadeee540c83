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
 * @property listen address that platform services and endpoints are served on
 * @property serviceTime service time of one call at speed 1
 * @property concurrency maximum concurrent calls of an endpoint that is not listed in [endpoints]
 * @property streamedStages stages whose responses are streamed
 * @property parts number of parts of a streamed response
 * @property partDelay delay after each part
 * @property endpoints endpoints with settings of their own
 * @property relays TCP relays to start
 */
@Serializable
data class StandinSettings(
    val listen: SocketAddress,
    @Serializable(with = DurationTextSerializer::class) val serviceTime: Duration = 20.milliseconds,
    val concurrency: Int = 64,
    val streamedStages: Set<String> = emptySet(),
    val parts: Int = 5,
    @Serializable(with = DurationTextSerializer::class) val partDelay: Duration = 20.milliseconds,
    val endpoints: List<StandinEndpoint> = emptyList(),
    val relays: List<RelaySettings> = emptyList(),
) : CheckedSettings {
    override fun check(): List<SettingsError> = buildList {
        if (concurrency < 1) add(SettingsError("concurrency", "$concurrency is less than 1"))
        if (parts < 1) add(SettingsError("parts", "$parts is less than 1"))
        duplicatesOf(endpoints.map { it.id }).forEach { add(SettingsError("endpoints", "$it is listed twice")) }
        duplicatesOf(relays.map { it.name }).forEach { add(SettingsError("relays", "$it is listed twice")) }
        endpoints.filter { it.speed <= 0 }.forEach { add(SettingsError("endpoints", "${it.id}: speed is not above 0")) }
        endpoints.filter {
            it.concurrency < 1
        }.forEach { add(SettingsError("endpoints", "${it.id}: concurrency below 1")) }
    }

    private fun duplicatesOf(names: List<String>): Set<String> =
        names.groupingBy { it }.eachCount().filterValues { it > 1 }.keys
}

/**
 * Settings of one simulated endpoint.
 *
 * @property speed factor by which the service time is divided
 * @property concurrency maximum concurrent calls; further calls wait
 * @property checksFencing whether its engine rejects an order with an old fencing number
 */
@Serializable
data class StandinEndpoint(
    val id: String,
    val speed: Double = 1.0,
    val concurrency: Int = 64,
    val checksFencing: Boolean = false,
)

/**
 * Settings of a TCP relay between two processes.
 *
 * @property name name of the relay in the path that sets its fault
 * @property listen address that the relay listens on
 * @property target address that connections are forwarded to
 */
@Serializable
data class RelaySettings(val name: String, val listen: SocketAddress, val target: SocketAddress)
