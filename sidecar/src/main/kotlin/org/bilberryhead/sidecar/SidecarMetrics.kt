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

/** How a call of the endpoint ended. */
enum class CallResult {
    /** The endpoint answered completely. */
    ANSWERED,

    /** The endpoint provably did not begin. */
    NOT_RUN,

    /** The endpoint failed and may have taken effect. */
    FAILED,

    /** The call was cancelled. */
    CANCELLED,
}

/** How an order to the engine ended. */
enum class OrderResult {
    /** The engine carried it out. */
    DONE,

    /** The engine refused its fencing number. */
    REFUSED,

    /** It provably had no effect. */
    FAILED,

    /** It may have had its effect, or may still have it. */
    UNKNOWN,

    /** It was not sent, because its time had passed. */
    WITHHELD,
}

/**
 * Counts what a sidecar does. The total time of `bilberry.endpoint.calls` is the cost of a stage in endpoint-seconds.
 */
class SidecarMetrics(private val registry: MeterRegistry) {
    /** Counts a call of the endpoint for [stage] that ended after [elapsed]. */
    fun countCall(stage: StageName, result: CallResult, elapsed: Duration) {
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

    /** Counts an order to the engine that ended. */
    fun countOrder(order: Order, result: OrderResult) {
        Counter.builder("bilberry.engine.orders")
            .description("Orders to the engine by order and result")
            .tag("order", order.label)
            .tag("result", result.name.lowercase())
            .register(registry)
            .increment()
    }

    /** Counts a wait of the orders. */
    fun countOrderWait(reason: WaitReason) {
        Counter.builder("bilberry.engine.order.waits")
            .description("Waits before an order or a look at the engine, by reason")
            .tag("reason", reason.name.lowercase())
            .register(registry)
            .increment()
    }

    /** Shows what [read] returns as the gauge [name]. */
    fun gauge(name: String, description: String, read: () -> Number) {
        Gauge.builder(name, read).description(description).register(registry)
    }
}
