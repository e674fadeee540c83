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
 * Settings of an entry, the process that `bilberry-forwarding` runs.
 *
 * @property callers address on which callers connect over HTTP
 * @property readiness address on which the platform's balancer checks whether the entry accepts connections
 * @property peers address on which other entries call this one
 * @property metrics address on which the metrics are served
 * @property seeds [peers] addresses of other entries, known before the store is read; may be out of date
 * @property store address of the platform's store
 * @property processorShare processor cores of this entry; entries with few do not coordinate pools
 * @property drainLimit longest time that a graceful shutdown may take
 * @property configurationDelay longest time from a change of the configuration until it must be in effect
 * @property drainNotice longest time from an endpoint's notice that it is leaving until it must get no new work
 * @property retryRatio largest ratio of retries to requests of a pool, over all entries, in any [retryWindow]
 * @property retrySlack retries of a pool that are allowed beyond the ratio, over all entries, in any [retryWindow]
 * @property retryWindow length of the period to which [retryRatio] and [retrySlack] apply
 * @property hedgeRatio largest ratio of hedges to requests of a pool that may be hedged, over all entries; 0 switches
 *   hedging off
 * @property decisionLinesPerSecond largest number of decision log lines of one kind per second
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
    @Serializable(with = DurationTextSerializer::class) val configurationDelay: Duration = 2.seconds,
    @Serializable(with = DurationTextSerializer::class) val drainNotice: Duration = 2.seconds,
    val processorShare: Double = 1.0,
    val retryRatio: Double = 0.2,
    val retrySlack: Double = 0.0,
    @Serializable(with = DurationTextSerializer::class) val retryWindow: Duration = 10.seconds,
    val hedgeRatio: Double = 0.0,
    val decisionLinesPerSecond: Int = 100,
) : CheckedSettings {
    /** Limits of retries, from the settings above. */
    val retryLimits: RetryLimits get() = RetryLimits(retryRatio, retrySlack, retryWindow)

    /**
     * Returns these settings with the ones of [changed] that apply at run time: seeds, limits of retries, of hedges and
     * of log lines.
     */
    fun withReloadable(changed: ForwardingSettings): ForwardingSettings = copy(
        seeds = changed.seeds,
        retryRatio = changed.retryRatio,
        retrySlack = changed.retrySlack,
        retryWindow = changed.retryWindow,
        hedgeRatio = changed.hedgeRatio,
        decisionLinesPerSecond = changed.decisionLinesPerSecond,
    )

    override fun check(): List<SettingsError> = buildList {
        if (processorShare <= 0) add(SettingsError("processorShare", "$processorShare is not positive"))
        if (!configurationDelay.isPositive()) {
            add(SettingsError("configurationDelay", "$configurationDelay is not positive"))
        }
        if (!drainNotice.isPositive()) add(SettingsError("drainNotice", "$drainNotice is not positive"))
        if (!drainLimit.isPositive()) add(SettingsError("drainLimit", "$drainLimit is not positive"))
        if (!retryWindow.isPositive()) add(SettingsError("retryWindow", "$retryWindow is not positive"))
        if (retryRatio < 0) add(SettingsError("retryRatio", "$retryRatio is negative"))
        if (retrySlack < 0) add(SettingsError("retrySlack", "$retrySlack is negative"))
        if (hedgeRatio !in 0.0..1.0) add(SettingsError("hedgeRatio", "$hedgeRatio is not between 0 and 1"))
        if (decisionLinesPerSecond < 1) add(SettingsError("decisionLinesPerSecond", "less than 1"))
    }
}
