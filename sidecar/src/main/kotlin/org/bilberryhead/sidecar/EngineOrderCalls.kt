package org.bilberryhead.sidecar

import com.github.michaelbull.result.mapBoth
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.order.EngineOrderAction
import org.bilberryhead.core.order.EngineOrderEvent
import org.bilberryhead.core.order.Turn
import org.bilberryhead.platform.FenceStore
import org.bilberryhead.platform.HttpPlatform
import kotlin.time.Clock

/**
 * Carries out what the orders ask for, with the platform's table service and the engine. Safe for several threads.
 *
 * @param closeStore ends the client of the table service
 */
class EngineOrderCalls(
    private val endpoint: EndpointId,
    private val incarnation: Incarnation,
    private val fences: FenceStore,
    private val engine: EngineCaller,
    private val clock: Clock,
    private val closeStore: () -> Unit = {},
) : AutoCloseable {

    /** Carries [action] out and returns what came of it; null when nothing is to be reported. */
    suspend fun perform(action: EngineOrderAction): EngineOrderEvent? = when (action) {
        is EngineOrderAction.TakeNumber -> ask(action.turn) { takeNumber(action.turn) }
        is EngineOrderAction.ReadNumber -> ask(action.turn) { readNumber(action.turn) }
        is EngineOrderAction.ReadEngine -> readEngine(action.turn)
        is EngineOrderAction.SendOrder -> send(action)
        is EngineOrderAction.StartTimer -> {
            delay(action.delay)
            EngineOrderEvent.TimerDue(action.turn)
        }
        is EngineOrderAction.Stop -> null
    }

    override fun close() {
        closeStore()
        engine.close()
    }

    private suspend fun takeNumber(turn: Turn): EngineOrderEvent {
        val begun = clock.now()
        return fences.acquire(endpoint, incarnation).mapBoth(
            { EngineOrderEvent.NumberTaken(turn, it, begun) },
            { EngineOrderEvent.StoreFailed(turn, it.detail) },
        )
    }

    private suspend fun readNumber(turn: Turn): EngineOrderEvent {
        val begun = clock.now()
        return fences.current(endpoint).mapBoth(
            { EngineOrderEvent.NumberRead(turn, it, begun) },
            { EngineOrderEvent.StoreFailed(turn, it.detail) },
        )
    }

    private suspend fun readEngine(turn: Turn): EngineOrderEvent = engine.loaded().mapBoth(
        { EngineOrderEvent.EngineRead(turn, it) },
        { EngineOrderEvent.EngineSilent(turn, it.detail) },
    )

    private suspend fun send(action: EngineOrderAction.SendOrder): EngineOrderEvent {
        if (clock.now() >= action.usableUntil) return EngineOrderEvent.OrderWithheld(action.turn)
        return engine.send(action.order, action.number).mapBoth(
            { EngineOrderEvent.OrderDone(action.turn) },
            { failed(action.turn, it) },
        )
    }

    private fun failed(turn: Turn, error: EngineError): EngineOrderEvent = when (error) {
        is EngineError.OldNumber -> EngineOrderEvent.OrderRefused(turn, error.detail)
        is EngineError.NotReached -> EngineOrderEvent.OrderFailed(turn, error.detail, mayHaveEffect = false)
        is EngineError.OutcomeUnknown -> EngineOrderEvent.OrderFailed(turn, error.detail, mayHaveEffect = true)
    }

    @Suppress("TooGenericExceptionCaught") // an action without an answer would stop the orders for ever
    private suspend fun ask(turn: Turn, work: suspend () -> EngineOrderEvent): EngineOrderEvent = try {
        work()
    } catch (failure: CancellationException) {
        currentCoroutineContext().ensureActive()
        EngineOrderEvent.StoreFailed(turn, "call failed: ${failure.message}")
    } catch (failure: Exception) {
        EngineOrderEvent.StoreFailed(turn, "call failed: ${failure.message}")
    }

    companion object {
        /** Returns the calls of the run [incarnation] of a sidecar with [settings]. */
        fun of(settings: SidecarSettings, incarnation: Incarnation, clock: Clock): EngineOrderCalls {
            val platform = HttpPlatform(settings.platformUrl)
            return EngineOrderCalls(
                endpoint = settings.endpoint,
                incarnation = incarnation,
                fences = FenceStore(platform),
                engine = EngineCaller(settings.endpointUrl, settings.engineOrders.orderTimeout),
                clock = clock,
                closeStore = platform::close,
            )
        }
    }
}
