package org.bilberryhead.sidecar

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import org.bilberryhead.core.common.StageName
import org.bilberryhead.core.message.RefusalReason
import org.bilberryhead.core.order.Order
import org.bilberryhead.core.order.WaitReason
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/** Result of a call of the endpoint. */
enum class CallResult {
    /** The endpoint sent a complete response. */
    ANSWERED,

    /** The endpoint provably did not start the call. */
    NOT_RUN,

    /** The call failed and may have taken effect. */
    FAILED,

    /** The call was cancelled. */
    CANCELLED,
}

/** Result of an order to the engine. */
enum class OrderResult {
    /** The engine executed it. */
    DONE,

    /** The engine refused its fencing number. */
    REFUSED,

    /** It provably had no effect. */
    FAILED,

    /** It may have taken effect, or may still do so. */
    UNKNOWN,

    /** It was not sent, because its period of validity had ended. */
    WITHHELD,
}

/**
 * Metrics of a sidecar. The total time of `bilberry.endpoint.calls` is the cost of a stage in endpoint-seconds.
 */
class SidecarMetrics(private val registry: MeterRegistry) {
    /** Records a call of the endpoint for [stage] that ended after [elapsed]. */
    fun recordCall(stage: StageName, result: CallResult, elapsed: Duration) {
        Timer.builder("bilberry.endpoint.calls")
            .description("Calls of the endpoint by stage and result, and the time that they took")
            .tag("stage", stage.value)
            .tag("result", result.name.lowercase())
            .register(registry)
            .record(elapsed.toJavaDuration())
    }

    /** Counts an attempt that was refused. */
    fun countRefusal(reason: RefusalReason) {
        Counter.builder("bilberry.sidecar.refusals")
            .description("Refusals sent to entries by reason")
            .tag("reason", reason.name.lowercase())
            .register(registry)
            .increment()
    }

    /** Counts an order to the engine by its result. */
    fun countOrder(order: Order, result: OrderResult) {
        Counter.builder("bilberry.engine.orders")
            .description("Orders to the engine by order and result")
            .tag("order", order.label)
            .tag("result", result.name.lowercase())
            .register(registry)
            .increment()
    }

    /** Counts a wait before an order or a read of the engine. */
    fun countOrderWait(reason: WaitReason) {
        Counter.builder("bilberry.engine.order.waits")
            .description("Waits before an order or a look at the engine, by reason")
            .tag("reason", reason.name.lowercase())
            .register(registry)
            .increment()
    }

    /** Registers a gauge [name] with the value that [read] returns. */
    fun gauge(name: String, description: String, read: () -> Number) {
        Gauge.builder(name, read).description(description).register(registry)
    }
}
