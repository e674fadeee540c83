package org.bilberryhead.sidecar

import com.github.michaelbull.result.mapBoth
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.order.ActionId
import org.bilberryhead.core.order.EngineOrderAction
import org.bilberryhead.core.order.EngineOrderEvent
import org.bilberryhead.platform.FenceStore
import org.bilberryhead.platform.HttpPlatform
import kotlin.time.Clock

/**
 * Carries out what the orders ask for, with the platform's table service and the engine. Safe for several threads.
 *
 * @param closeStore ends the client of the table service
 */
class EngineOrderExecutor(
    private val endpoint: EndpointId,
    private val incarnation: Incarnation,
    private val fences: FenceStore,
    private val engine: EngineCaller,
    private val clock: Clock,
    private val closeStore: () -> Unit = {},
) : AutoCloseable {

    /** Carries [action] out and returns what came of it; null when nothing is to be reported. */
    suspend fun perform(action: EngineOrderAction): EngineOrderEvent? = when (action) {
        is EngineOrderAction.AcquireNumber -> ask(action.actionId) { takeNumber(action.actionId) }
        is EngineOrderAction.ReadNumber -> ask(action.actionId) { readNumber(action.actionId) }
        is EngineOrderAction.ReadEngine -> readEngine(action.actionId)
        is EngineOrderAction.SendOrder -> send(action)
        is EngineOrderAction.StartTimer -> {
            delay(action.delay)
            EngineOrderEvent.TimerDue(action.actionId)
        }
        is EngineOrderAction.Stop -> null
    }

    override fun close() {
        closeStore()
        engine.close()
    }

    private suspend fun takeNumber(actionId: ActionId): EngineOrderEvent {
        val begun = clock.now()
        return fences.acquire(endpoint, incarnation).mapBoth(
            { EngineOrderEvent.NumberAcquired(actionId, it, begun) },
            { EngineOrderEvent.StoreFailed(actionId, it.detail) },
        )
    }

    private suspend fun readNumber(actionId: ActionId): EngineOrderEvent {
        val begun = clock.now()
        return fences.current(endpoint).mapBoth(
            { EngineOrderEvent.NumberRead(actionId, it, begun) },
            { EngineOrderEvent.StoreFailed(actionId, it.detail) },
        )
    }

    private suspend fun readEngine(actionId: ActionId): EngineOrderEvent = engine.loaded().mapBoth(
        { EngineOrderEvent.EngineRead(actionId, it) },
        { EngineOrderEvent.EngineReadFailed(actionId, it.detail) },
    )

    private suspend fun send(action: EngineOrderAction.SendOrder): EngineOrderEvent {
        if (clock.now() >= action.validUntil) return EngineOrderEvent.OrderWithheld(action.actionId)
        return engine.send(action.order, action.number).mapBoth(
            { EngineOrderEvent.OrderDone(action.actionId) },
            { failed(action.actionId, it) },
        )
    }

    private fun failed(actionId: ActionId, error: EngineError): EngineOrderEvent = when (error) {
        is EngineError.OldNumber -> EngineOrderEvent.OrderRefused(actionId, error.detail)
        is EngineError.NotReached -> EngineOrderEvent.OrderFailed(actionId, error.detail, mayHaveTakenEffect = false)
        is EngineError.OutcomeUnknown -> EngineOrderEvent.OrderFailed(actionId, error.detail, mayHaveTakenEffect = true)
    }

    @Suppress("TooGenericExceptionCaught") // an action without an answer would stop the orders for ever
    private suspend fun ask(actionId: ActionId, work: suspend () -> EngineOrderEvent): EngineOrderEvent = try {
        work()
    } catch (failure: CancellationException) {
        currentCoroutineContext().ensureActive()
        EngineOrderEvent.StoreFailed(actionId, "call failed: ${failure.message}")
    } catch (failure: Exception) {
        EngineOrderEvent.StoreFailed(actionId, "call failed: ${failure.message}")
    }

    companion object {
        /** Returns the calls of the run [incarnation] of a sidecar with [settings]. */
        fun of(settings: SidecarSettings, incarnation: Incarnation, clock: Clock): EngineOrderExecutor {
            val platform = HttpPlatform(settings.platformUrl)
            return EngineOrderExecutor(
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
