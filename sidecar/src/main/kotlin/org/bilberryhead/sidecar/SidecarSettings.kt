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
 * @property endpoint id of the endpoint that the sidecar calls
 * @property listen address to which entries connect
 * @property operations address of the server for `/metrics` and `/health`
 * @property endpointUrl base URL of the endpoint
 * @property platformUrl base URL of the platform, whose table service stores the fencing numbers of engines
 * @property concurrency maximum number of concurrent calls of the endpoint, until the pools table sets another value
 * @property queueCapacity maximum number of queued attempts
 * @property maximumAnswerBytes maximum size of a response; a larger one counts as a failure of the endpoint
 * @property tls certificate and key for serving [operations] over HTTPS; null for plain HTTP
 * @property fileCheckInterval interval at which the files of [tls] are checked for changes
 * @property drainLimit timeout of a graceful shutdown
 * @property engineOrders settings of the orders to the engine
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
    val maximumAnswerBytes: Int = EndpointCaller.DEFAULT_MAXIMUM_RESPONSE_BYTES,
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
 * @property orderTimeout timeout of one order, such as the load of a model
 * @property reconcileInterval maximum time between two reads of the engine's state
 * @property weightLoadsPerSecond weight loads that all sidecars together may start per second
 */
@Serializable
data class EngineOrderSettings(
    @Serializable(with = DurationTextSerializer::class) val orderTimeout: Duration = 10.minutes,
    @Serializable(with = DurationTextSerializer::class) val reconcileInterval: Duration = 30.seconds,
    val weightLoadsPerSecond: Double = 10.0,
) {
    /** Returns every error in these settings, which are located at [path] of the settings file. */
    internal fun check(path: String): List<SettingsError> = buildList {
        if (!orderTimeout.isPositive()) add(SettingsError("$path.orderTimeout", "$orderTimeout is not positive"))
        if (reconcileInterval < MINIMUM_RECONCILE_INTERVAL) {
            add(SettingsError("$path.reconcileInterval", "$reconcileInterval is under $MINIMUM_RECONCILE_INTERVAL"))
        }
        if (weightLoadsPerSecond <= 0) {
            add(SettingsError("$path.weightLoadsPerSecond", "$weightLoadsPerSecond is not positive"))
        }
    }

    private companion object {
        val MINIMUM_RECONCILE_INTERVAL = 100.milliseconds
    }
}
