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

/** A way to the store or the engine, with the fault that is on it now. */
internal class ModelLink(private val loop: EventLoop) {
    private var fault: OrderFault? = null

    fun strike(fault: OrderFault, length: Duration) {
        this.fault = fault
        loop.after(length) { if (this.fault == fault) this.fault = null }
    }

    fun outwardDelay(): Duration = if (fault == OrderFault.ORDERS_LATE) LATE else LATENCY

    fun returnDelay(): Duration = if (fault == OrderFault.STORE_SLOW) SLOW else LATENCY

    fun isRefusing(): Boolean = fault == OrderFault.STORE_DOWN || fault == OrderFault.ENGINE_FAILS

    fun isLosingAnswers(): Boolean = fault == OrderFault.STORE_LOSES_ANSWERS || fault == OrderFault.ENGINE_LOSES_ANSWERS

    private companion object {
        val LATENCY = 5.milliseconds

        /** Longer than the validity of a number, shorter than the timeout of a call. */
        val SLOW = 6.seconds

        /** Longer than the timeout of an order. */
        val LATE = 35.seconds
    }
}

/** One session of engine orders in virtual time; a function of its cell. */
internal class OrderSession(private val cell: OrderCell) {
    private val holders = mutableListOf<ModelHolder>()
    private var rows = 0

    val loop = EventLoop()
    val engine = ModelEngine(cell.checks, TestClock.START)
    val fence = ModelFence()
    val toStore = ModelLink(loop)
    val toEngine = ModelLink(loop)
    val toEngineWithOrder = ModelLink(loop)

    /** What the judge looks at. */
    val records = mutableListOf<OrderRecord>()

    /** The session as text, one line for each event. */
    val lines = mutableListOf<String>()

    /** Number of times that each point was reached. */
    val arrivals = mutableMapOf<OrderPoint, Int>()

    /** Faults that struck, with the state of the holder that they hit. */
    val struck = mutableMapOf<OrderInjection, EngineOrderState>()

    /** What the holder of the newest number wanted, from each time on. */
    val demands = mutableListOf<Demand>()

    /** Runs the session to its end. */
    fun run(): OrderSession {
        startHolder()
        loop.runUntil(TestClock.START + LENGTH)
        return this
    }

    fun take(holder: ModelHolder): FencingNumber {
        val number = fence.take(holder.name)
        note("${holder.name} has number $number")
        noteDemand()
        return number
    }

    private fun noteDemand() {
        val newest = holders.single { it.name == fence.taken.getValue(checkNotNull(fence.current)) }
        if (demands.lastOrNull()?.wanted != newest.wanted) demands += Demand(loop.clock.now(), newest.wanted)
    }

    fun note(line: String) {
        lines += "${(loop.clock.now() - TestClock.START).inWholeMilliseconds} $line"
    }

    fun carryOut(holder: ModelHolder, action: EngineOrderAction.SendOrder): Boolean {
        val now = loop.clock.now()
        val isDone = engine.carryOut(action.order, action.number, now)
        note("engine ${if (isDone) "carries out" else "refuses"} ${action.order} with number ${action.number}")
        if (isDone) records += OrderRecord.Effect(now, holder.name, action.number, checkNotNull(fence.current))
        return isDone
    }

    fun reach(point: OrderPoint, holder: ModelHolder) {
        val occurrence = arrivals.merge(point, 1, Int::plus)
        val due = cell.injections.filter { it.point == point && it.occurrence == occurrence && it !in struck }
        due.forEach { strike(it, holder) }
    }

    private fun strike(injection: OrderInjection, holder: ModelHolder) {
        struck[injection] = holder.state
        note("fault $injection hits ${holder.name}")
        when (val fault = injection.fault) {
            OrderFault.PAUSE -> holder.pause(PAUSE)
            OrderFault.TAKEOVER -> startHolder()
            OrderFault.PAUSE_AND_TAKEOVER -> {
                holder.pause(PAUSE)
                startHolder()
            }
            OrderFault.KILL_AND_REPLACE -> {
                holder.kill()
                startHolder()
            }
            OrderFault.ROW_CHANGES -> {
                holder.learn(nextRow())
                if (fence.current != null) noteDemand()
            }
            OrderFault.STORE_DOWN, OrderFault.STORE_SLOW, OrderFault.STORE_LOSES_ANSWERS ->
                toStore.strike(fault, FAULT_LENGTH)
            OrderFault.ENGINE_FAILS, OrderFault.ENGINE_LOSES_ANSWERS -> {
                toEngine.strike(fault, FAULT_LENGTH)
                toEngineWithOrder.strike(fault, FAULT_LENGTH)
            }
            OrderFault.ORDERS_LATE -> toEngineWithOrder.strike(fault, FAULT_LENGTH)
        }
    }

    private fun startHolder() {
        val name = "holder-${holders.size + 1}"
        val holder = ModelHolder(this, name, nextRow(), cell.seed + holders.size)
        holders += holder
        loop.after(Duration.ZERO) { holder.start() }
    }

    private fun nextRow(): DesiredEngineState {
        rows++
        return DesiredEngineState(
            ModelVersion("model-$rows"),
            setOf(AdapterName("adapter-$rows")),
            EngineRole("role-$rows"),
        )
    }

    companion object {
        /** Times of every loop. */
        val TIMINGS = EngineOrderTimings(reconcileInterval = 30.seconds)

        /** Number of sidecars that share the rate of weight loads: one load in two seconds for each. */
        const val SIDECARS = 20

        private val PAUSE = 60.seconds
        private val FAULT_LENGTH = 40.seconds
        private val LENGTH = 10.minutes
    }
}
