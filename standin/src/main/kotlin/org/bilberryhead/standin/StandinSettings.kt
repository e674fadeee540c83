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
 * @property concurrency calls that an endpoint works on at once unless it is listed
 * @property streamedStages stages whose answers are sent in parts
 * @property parts number of parts of a streamed answer
 * @property partDelay time between the parts
 * @property endpoints endpoints that differ from the others
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
        repeated(endpoints.map { it.id }).forEach { add(SettingsError("endpoints", "$it is listed twice")) }
        repeated(relays.map { it.name }).forEach { add(SettingsError("relays", "$it is listed twice")) }
        endpoints.filter { it.speed <= 0 }.forEach { add(SettingsError("endpoints", "${it.id} has no speed")) }
        endpoints.filter { it.concurrency < 1 }.forEach { add(SettingsError("endpoints", "${it.id} takes no call")) }
    }

    private fun repeated(names: List<String>): Set<String> =
        names.groupingBy { it }.eachCount().filterValues { it > 1 }.keys
}

/**
 * One endpoint that the stand-in plays.
 *
 * @property speed calls are answered this many times faster than at speed 1
 * @property concurrency calls that it works on at once; further calls wait
 * @property checksFencing whether it refuses an order with an old fencing number
 */
@Serializable
data class StandinEndpoint(
    val id: String,
    val speed: Double = 1.0,
    val concurrency: Int = 64,
    val checksFencing: Boolean = false,
)

/**
 * A TCP relay, to be placed between two processes.
 *
 * @property name names the relay in the paths that switch it
 * @property listen where connections are taken
 * @property target where they are passed on to
 */
@Serializable
data class RelaySettings(val name: String, val listen: SocketAddress, val target: SocketAddress)
