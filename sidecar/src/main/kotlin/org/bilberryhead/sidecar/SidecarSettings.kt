package org.bilberryhead.sidecar

import kotlinx.serialization.Serializable
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.DurationTextSerializer
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.daemon.CheckedSettings
import org.bilberryhead.daemon.FileWatcher
import org.bilberryhead.daemon.SettingsError
import org.bilberryhead.daemon.TlsSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of a sidecar.
 *
 * @property listen where entries connect
 * @property operations where `/metrics` and `/health` are served
 * @property endpointUrl where the endpoint takes calls
 * @property concurrency calls that the endpoint works on at once, until the pools table says otherwise
 * @property queueCapacity attempts that may wait
 * @property maximumAnswerBytes a longer answer counts as a failure of the endpoint
 * @property tls certificate and key with which [operations] is served by HTTPS; null to serve it by HTTP
 * @property fileCheckInterval how often the files of [tls] are looked at for changes
 * @property drainLimit longest time that a graceful shutdown may take
 * @property engineOrders how orders to the engine are given
 */
@Serializable
data class SidecarSettings(
    val endpoint: EndpointId,
    val dataCentre: DataCentre,
    val listen: SocketAddress,
    val operations: SocketAddress,
    val endpointUrl: String,
    val platformUrl: String,
    val concurrency: Int = 4,
    val queueCapacity: Int = 64,
    val maximumAnswerBytes: Int = EndpointCaller.DEFAULT_ANSWER_BYTES,
    val tls: TlsSettings? = null,
    @Serializable(with = DurationTextSerializer::class) val fileCheckInterval: Duration = 5.seconds,
    @Serializable(with = DurationTextSerializer::class) val drainLimit: Duration = 60.seconds,
    val engineOrders: EngineOrderSettings = EngineOrderSettings(),
) : CheckedSettings {
    override fun check(): List<SettingsError> = buildList {
        if (!endpointUrl.startsWith("http")) add(SettingsError("endpointUrl", "'$endpointUrl' is not an HTTP address"))
        if (concurrency < 1) add(SettingsError("concurrency", "$concurrency is less than 1"))
        if (maximumAnswerBytes < 1) add(SettingsError("maximumAnswerBytes", "$maximumAnswerBytes is less than 1"))
        if (!drainLimit.isPositive()) add(SettingsError("drainLimit", "$drainLimit is not positive"))
        FileWatcher.intervalError(fileCheckInterval)?.let(::add)
        if (queueCapacity < 1) add(SettingsError("queueCapacity", "$queueCapacity is less than 1"))
        addAll(engineOrders.check("engineOrders"))
    }
}

/**
 * Settings of the orders to an engine.
 *
 * @property orderTimeout longest time that an engine may take for one order, such as the load of a model
 * @property reconcileInterval longest time between two looks at what the engine has loaded
 * @property weightLoadsPerSecond weight loads that all sidecars together may begin in a second
 */
@Serializable
data class EngineOrderSettings(
    @Serializable(with = DurationTextSerializer::class) val orderTimeout: Duration = 10.minutes,
    @Serializable(with = DurationTextSerializer::class) val reconcileInterval: Duration = 30.seconds,
    val weightLoadsPerSecond: Double = 10.0,
) {
    /** Returns what is wrong with the settings, which stand at [path]. */
    internal fun check(path: String): List<SettingsError> = buildList {
        if (!orderTimeout.isPositive()) add(SettingsError("$path.orderTimeout", "$orderTimeout is not positive"))
        if (reconcileInterval < SHORTEST_RECONCILE_INTERVAL) {
            add(SettingsError("$path.reconcileInterval", "$reconcileInterval is under $SHORTEST_RECONCILE_INTERVAL"))
        }
        if (weightLoadsPerSecond <= 0) {
            add(SettingsError("$path.weightLoadsPerSecond", "$weightLoadsPerSecond is not positive"))
        }
    }

    private companion object {
        val SHORTEST_RECONCILE_INTERVAL = 100.milliseconds
    }
}
