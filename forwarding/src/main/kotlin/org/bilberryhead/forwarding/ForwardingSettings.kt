package org.bilberryhead.forwarding

import kotlinx.serialization.Serializable
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.DurationTextSerializer
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.common.SocketAddressTextSerializer
import org.bilberryhead.core.serving.RetryLimits
import org.bilberryhead.daemon.CheckedSettings
import org.bilberryhead.daemon.SettingsError
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of an entry on the users' platform.
 *
 * @property callers where callers connect, by HTTP
 * @property readiness where the platform's balancer asks whether the entry takes connections
 * @property peers where other entries ask for the configuration
 * @property metrics where counters are served
 * @property seeds addresses of other entries' [peers], which may be out of date
 * @property store address of the platform's store
 * @property processorShare cores that this entry has; entries with few coordinate no pool
 * @property drainLimit longest time that a graceful shutdown may take
 * @property retryRatio retries of all entries to a pool over its requests, in any [retryWindow]
 * @property retrySlack further retries of all entries to a pool in any [retryWindow]
 * @property decisionLinesPerSecond most log lines of one kind in a second
 */
@Serializable
data class ForwardingSettings(
    val id: DaemonId,
    val dataCentre: DataCentre,
    @Serializable(with = SocketAddressTextSerializer::class) val callers: SocketAddress,
    @Serializable(with = SocketAddressTextSerializer::class) val readiness: SocketAddress,
    @Serializable(with = SocketAddressTextSerializer::class) val peers: SocketAddress,
    @Serializable(with = SocketAddressTextSerializer::class) val metrics: SocketAddress,
    val seeds: List<
        @Serializable(with = SocketAddressTextSerializer::class)
        SocketAddress,
        > = emptyList(),
    @Serializable(with = SocketAddressTextSerializer::class) val store: SocketAddress,
    @Serializable(with = DurationTextSerializer::class) val drainLimit: Duration = 8.seconds,
    val processorShare: Double = 1.0,
    val retryRatio: Double = 0.2,
    val retrySlack: Double = 0.0,
    @Serializable(with = DurationTextSerializer::class) val retryWindow: Duration = 10.seconds,
    val decisionLinesPerSecond: Int = 100,
) : CheckedSettings {
    /** Limits of the retries that this entry may send. */
    val retryLimits: RetryLimits get() = RetryLimits(retryRatio, retrySlack, retryWindow)

    /** Returns these settings with what of [changed] an entry takes while it runs: seeds, retry limits, log lines. */
    fun taking(changed: ForwardingSettings): ForwardingSettings = copy(
        seeds = changed.seeds,
        retryRatio = changed.retryRatio,
        retrySlack = changed.retrySlack,
        retryWindow = changed.retryWindow,
        decisionLinesPerSecond = changed.decisionLinesPerSecond,
    )

    override fun check(): List<SettingsError> = buildList {
        if (processorShare <= 0) add(SettingsError("processorShare", "$processorShare is not positive"))
        if (!drainLimit.isPositive()) add(SettingsError("drainLimit", "$drainLimit is not positive"))
        if (!retryWindow.isPositive()) add(SettingsError("retryWindow", "$retryWindow is not positive"))
        if (retryRatio < 0) add(SettingsError("retryRatio", "$retryRatio is negative"))
        if (retrySlack < 0) add(SettingsError("retrySlack", "$retrySlack is negative"))
        if (decisionLinesPerSecond < 1) add(SettingsError("decisionLinesPerSecond", "less than 1"))
    }
}
