package org.bilberryhead.load.run

import kotlinx.serialization.Serializable
import org.bilberryhead.core.common.DurationTextSerializer
import org.bilberryhead.daemon.CheckedSettings
import org.bilberryhead.daemon.SettingsError
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Load that `bilberry-load run` generates.
 *
 * @property targets base URLs that requests are sent to in turn, such as `http://127.0.0.1:8080`
 * @property ratePerSecond mean number of requests that are due per second
 * @property deadline a response after this time is late; measured from the time at which the request was due
 * @property seed the same seed gives the same arrivals
 */
@Serializable
data class LoadPlan(
    val targets: List<String>,
    val ratePerSecond: Double,
    @Serializable(with = DurationTextSerializer::class) val duration: Duration,
    val kinds: List<KindMix>,
    val accounts: List<AccountMix>,
    @Serializable(with = DurationTextSerializer::class) val deadline: Duration = 4.seconds,
    val bursts: List<Burst> = emptyList(),
    val seed: Long = 1,
) : CheckedSettings {
    override fun check(): List<SettingsError> = buildList {
        if (targets.isEmpty()) add(SettingsError("targets", "no target is named"))
        if (ratePerSecond <= 0) add(SettingsError("ratePerSecond", "must be more than 0"))
        if (!duration.isPositive()) add(SettingsError("duration", "must be positive"))
        if (kinds.isEmpty()) add(SettingsError("kinds", "no kind is named"))
        if (accounts.isEmpty()) add(SettingsError("accounts", "no client account is named"))
    }
}

/** How a request is protected against a second execution when it is sent again. */
@Serializable
enum class KeyUse {
    /** No idempotency key. */
    NONE,

    /** A key that the caller generates and the entry claims in the table service. */
    OWN,

    /** A ticket that is requested first; the time for that counts towards the latency. */
    TICKET,
}

/**
 * One kind of request in the mix.
 *
 * @property path path that the request is posted to; defaults to the path of the kind
 * @property weight relative share of the requests
 */
@Serializable
data class KindMix(
    val kind: String,
    val weight: Double = 1.0,
    val body: String = "{}",
    val key: KeyUse = KeyUse.NONE,
    val path: String = "/v1/requests/$kind",
)

/**
 * One client account in the mix.
 *
 * @property tokenVariable the environment variable that holds the account's bearer token
 */
@Serializable
data class AccountMix(val name: String, val tokenVariable: String, val weight: Double = 1.0)

/** A period in which [factor] times as many requests are due. */
@Serializable
data class Burst(
    @Serializable(with = DurationTextSerializer::class) val at: Duration,
    @Serializable(with = DurationTextSerializer::class) val duration: Duration,
    val factor: Double,
)
