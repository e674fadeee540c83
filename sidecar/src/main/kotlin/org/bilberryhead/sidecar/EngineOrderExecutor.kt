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
 * Executes the actions of an `EngineReconciler` with the platform's table service and the engine. Thread-safe.
 *
 * @param closeStore closes the client of the table service
 */
class EngineOrderExecutor(
    private val endpoint: EndpointId,
    private val incarnation: Incarnation,
    private val fences: FenceStore,
    private val engine: EngineCaller,
    private val clock: Clock,
    private val closeStore: () -> Unit = {},
) : AutoCloseable {

    /** Executes [action] and returns the resulting event, or null if there is none. */
    suspend fun perform(action: EngineOrderAction): EngineOrderEvent? = when (action) {
        is EngineOrderAction.AcquireNumber -> callStore(action.actionId) { acquireNumber(action.actionId) }
        is EngineOrderAction.ReadNumber -> callStore(action.actionId) { readNumber(action.actionId) }
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

    private suspend fun acquireNumber(actionId: ActionId): EngineOrderEvent {
        val startedAt = clock.now()
        return fences.acquire(endpoint, incarnation).mapBoth(
            { EngineOrderEvent.NumberAcquired(actionId, it, startedAt) },
            { EngineOrderEvent.StoreFailed(actionId, it.detail) },
        )
    }

    private suspend fun readNumber(actionId: ActionId): EngineOrderEvent {
        val startedAt = clock.now()
        return fences.current(endpoint).mapBoth(
            { EngineOrderEvent.NumberRead(actionId, it, startedAt) },
            { EngineOrderEvent.StoreFailed(actionId, it.detail) },
        )
    }

    private suspend fun readEngine(actionId: ActionId): EngineOrderEvent = engine.readState().mapBoth(
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
        is EngineError.StaleFencingNumber -> EngineOrderEvent.OrderRefused(actionId, error.detail)
        is EngineError.NotReached -> EngineOrderEvent.OrderFailed(actionId, error.detail, mayHaveTakenEffect = false)
        is EngineError.OutcomeUnknown -> EngineOrderEvent.OrderFailed(actionId, error.detail, mayHaveTakenEffect = true)
    }

    @Suppress("TooGenericExceptionCaught") // an action without a result would stop the orders forever
    private suspend fun callStore(actionId: ActionId, work: suspend () -> EngineOrderEvent): EngineOrderEvent = try {
        work()
    } catch (failure: CancellationException) {
        currentCoroutineContext().ensureActive()
        EngineOrderEvent.StoreFailed(actionId, "call failed: ${failure.message}")
    } catch (failure: Exception) {
        EngineOrderEvent.StoreFailed(actionId, "call failed: ${failure.message}")
    }

    companion object {
        /** Returns an executor for [incarnation] of a sidecar with [settings]. */
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
