package org.bilberryhead.core.testing.order

import org.bilberryhead.core.common.FencingNumber
import org.bilberryhead.core.order.AdapterName
import org.bilberryhead.core.order.DesiredEngineState
import org.bilberryhead.core.order.EngineOrderAction
import org.bilberryhead.core.order.EngineOrderState
import org.bilberryhead.core.order.EngineOrderTimings
import org.bilberryhead.core.order.EngineRole
import org.bilberryhead.core.order.ModelVersion
import org.bilberryhead.core.testing.TestClock
import org.bilberryhead.core.testing.model.EventLoop
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** A link to the store or the engine, with the fault that currently affects it. */
internal class ModelLink(private val loop: EventLoop) {
    private var fault: OrderFault? = null

    fun inject(fault: OrderFault, length: Duration) {
        this.fault = fault
        loop.after(length) { if (this.fault == fault) this.fault = null }
    }

    fun requestDelay(): Duration = if (fault == OrderFault.ORDERS_LATE) LATE_DELAY else LATENCY

    fun responseDelay(): Duration = if (fault == OrderFault.STORE_SLOW) SLOW_DELAY else LATENCY

    fun isRefusing(): Boolean = fault == OrderFault.STORE_DOWN || fault == OrderFault.ENGINE_FAILS

    fun isLosingResponses(): Boolean =
        fault == OrderFault.STORE_LOSES_ANSWERS || fault == OrderFault.ENGINE_LOSES_ANSWERS

    private companion object {
        val LATENCY = 5.milliseconds

        /** Longer than the validity of a number, shorter than the timeout of a call. */
        val SLOW_DELAY = 6.seconds

        /** Longer than the timeout of an order. */
        val LATE_DELAY = 35.seconds
    }
}

/** One session of engine orders in virtual time, fully determined by [cell]. */
internal class OrderSession(private val cell: OrderCell) {
    private val holders = mutableListOf<ModelHolder>()
    private var rowCount = 0

    val loop = EventLoop()
    val engine = ModelEngine(cell.checksFencing, TestClock.START)
    val fencing = ModelFencingStore()
    val toStore = ModelLink(loop)
    val toEngine = ModelLink(loop)
    val toEngineForOrders = ModelLink(loop)

    /** The events that [OrderInvariantChecker] checks. */
    val records = mutableListOf<OrderRecord>()

    /** The log of the session, one line for each event. */
    val logLines = mutableListOf<String>()

    /** Number of times that each point was reached. */
    val pointCounts = mutableMapOf<OrderPoint, Int>()

    /** The injected faults, each with the state of the affected holder. */
    val injected = mutableMapOf<OrderInjection, EngineOrderState>()

    /** The states that the holder of the highest number desired over time. */
    val desiredStates = mutableListOf<DesiredStateSpan>()

    /** Runs the session to its end. */
    fun run(): OrderSession {
        startHolder()
        loop.runUntil(TestClock.START + SESSION_DURATION)
        return this
    }

    fun acquireNumber(holder: ModelHolder): FencingNumber {
        val number = fencing.acquire(holder.name)
        log("${holder.name} acquires number $number")
        recordDesiredState()
        return number
    }

    private fun recordDesiredState() {
        val newestHolder = holders.single { it.name == fencing.acquired.getValue(checkNotNull(fencing.current)) }
        if (desiredStates.lastOrNull()?.desired != newestHolder.desired) {
            desiredStates += DesiredStateSpan(loop.clock.now(), newestHolder.desired)
        }
    }

    fun log(line: String) {
        logLines += "${(loop.clock.now() - TestClock.START).inWholeMilliseconds} $line"
    }

    fun execute(holder: ModelHolder, action: EngineOrderAction.SendOrder): Boolean {
        val now = loop.clock.now()
        val isExecuted = engine.execute(action.order, action.number, now)
        log("engine ${if (isExecuted) "executes" else "refuses"} ${action.order} with number ${action.number}")
        if (isExecuted) records += OrderRecord.Effect(now, holder.name, action.number, checkNotNull(fencing.current))
        return isExecuted
    }

    fun reach(point: OrderPoint, holder: ModelHolder) {
        val occurrence = pointCounts.merge(point, 1, Int::plus)
        val dueInjections =
            cell.injections.filter { it.point == point && it.occurrence == occurrence && it !in injected }
        dueInjections.forEach { inject(it, holder) }
    }

    private fun inject(injection: OrderInjection, holder: ModelHolder) {
        injected[injection] = holder.state
        log("FAULT $injection reached by ${holder.name}")
        when (val fault = injection.fault) {
            OrderFault.PAUSE -> holder.pause(PAUSE_DURATION)
            OrderFault.TAKEOVER -> startHolder()
            OrderFault.PAUSE_AND_TAKEOVER -> {
                holder.pause(PAUSE_DURATION)
                startHolder()
            }
            OrderFault.KILL_AND_REPLACE -> {
                holder.kill()
                startHolder()
            }
            OrderFault.ROW_CHANGES -> {
                holder.changeRow(nextRow())
                if (fencing.current != null) recordDesiredState()
            }
            OrderFault.STORE_DOWN, OrderFault.STORE_SLOW, OrderFault.STORE_LOSES_ANSWERS ->
                toStore.inject(fault, FAULT_DURATION)
            OrderFault.ENGINE_FAILS, OrderFault.ENGINE_LOSES_ANSWERS -> {
                toEngine.inject(fault, FAULT_DURATION)
                toEngineForOrders.inject(fault, FAULT_DURATION)
            }
            OrderFault.ORDERS_LATE -> toEngineForOrders.inject(fault, FAULT_DURATION)
        }
    }

    private fun startHolder() {
        val name = "holder-${holders.size + 1}"
        val holder = ModelHolder(this, name, nextRow(), cell.seed + holders.size)
        holders += holder
        loop.after(Duration.ZERO) { holder.start() }
    }

    private fun nextRow(): DesiredEngineState {
        rowCount++
        return DesiredEngineState(
            ModelVersion("model-$rowCount"),
            setOf(AdapterName("adapter-$rowCount")),
            EngineRole("role-$rowCount"),
        )
    }

    companion object {
        /** Timings of every holder's reconciler. */
        val TIMINGS = EngineOrderTimings(reconcileInterval = 30.seconds)

        /** Number of sidecars that share the rate of weight loads: one load in two seconds for each. */
        const val SIDECARS = 20

        private val PAUSE_DURATION = 60.seconds
        private val FAULT_DURATION = 40.seconds
        private val SESSION_DURATION = 10.minutes
    }
}
