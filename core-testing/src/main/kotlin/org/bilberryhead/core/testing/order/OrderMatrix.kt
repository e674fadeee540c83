package org.bilberryhead.core.testing.order

import org.bilberryhead.core.order.EngineOrderState
import kotlin.random.Random

/** Runs sessions of engine orders with faults and collects the violations that they show. */
internal class OrderMatrix(private val checksFencing: Boolean) {
    private val violationCounts = sortedMapOf<OrderInvariant, Int>()
    private var cells = 0
    private var cellsReached = 0

    /** Name and violations of each failed cell, with the full session log of the first [FULL_SESSIONS]. */
    val failures = mutableListOf<String>()

    /** The injected faults, each with the state of the affected holder. */
    val injectedFaults = mutableSetOf<Pair<OrderFault, EngineOrderState>>()

    /** Points at which at least one fault was injected. */
    val reachedPoints = mutableSetOf<OrderPoint>()

    /** Runs each fault at the first [MAXIMUM_OCCURRENCE] occurrences of each point, alone and after each prelude. */
    fun runSingleFaults() {
        PRELUDES.forEach { prelude ->
            val base = OrderCell(checksFencing, seed = 1, listOfNotNull(prelude))
            injectionsFor(run(base)).forEach { run(base.copy(injections = base.injections + it)) }
        }
    }

    /** Runs [count] pairs of faults chosen by [random], the second at a point that is reached after the first. */
    fun runFaultPairs(random: Random, count: Int) = repeat(count) {
        val seed = random.nextInt()
        val first = injectionsFor(runUnchecked(OrderCell(checksFencing, seed, emptyList()))).random(random)
        val second = injectionsFor(runUnchecked(OrderCell(checksFencing, seed, listOf(first)))).random(random)
        run(OrderCell(checksFencing, seed, listOf(first, second)))
    }

    /** Runs the session of [cell] without checking invariants, up to its end or to the first failed check. */
    private fun runUnchecked(cell: OrderCell): OrderSession = OrderSession(cell).also { session ->
        try {
            session.run()
        } catch (error: IllegalStateException) {
            session.log("check failed in the session: ${error.message}")
        }
    }

    /** Returns the counts in one line. */
    fun summary(title: String): String =
        "matrix: $title: $cells cells, $cellsReached reached, ${failures.size} failed $violationCounts"

    private fun injectionsFor(session: OrderSession): List<OrderInjection> =
        session.pointCounts.flatMap { (point, count) ->
            (1..minOf(count, MAXIMUM_OCCURRENCE)).flatMap { occurrence ->
                OrderFault.entries.map { OrderInjection(it, point, occurrence) }
            }
        }

    private fun run(cell: OrderCell): OrderSession {
        val session = OrderSession(cell)
        val violations = try {
            OrderInvariantChecker(session.run(), cell).check()
                .onEach { violationCounts.merge(it.invariant, 1, Int::plus) }
                .map { "$it" }
        } catch (error: IllegalStateException) {
            listOf("check failed in the session: ${error.message}")
        }
        cells++
        if (session.injected.keys.containsAll(cell.injections)) cellsReached++
        session.injected.mapTo(injectedFaults) { (injection, state) -> injection.fault to state }
        session.injected.keys.mapTo(reachedPoints) { it.point }
        if (violations.isNotEmpty()) failures += describe(cell, violations, session)
        return session
    }

    private fun describe(cell: OrderCell, violations: List<String>, session: OrderSession): String {
        val lines = if (failures.size < FULL_SESSIONS) violations + session.logLines else violations.take(1)
        return (listOf("$cell") + lines).joinToString("\n  ")
    }

    private companion object {
        const val MAXIMUM_OCCURRENCE = 24

        /** Number of failed cells whose full session logs are kept. */
        const val FULL_SESSIONS = 3

        /** Faults that lead to states which a session without faults does not reach. */
        val PRELUDES = listOf(
            null,
            OrderInjection(OrderFault.STORE_DOWN, OrderPoint.TAKE_SENT),
            OrderInjection(OrderFault.ENGINE_FAILS, OrderPoint.ORDER_CHECKED),
            OrderInjection(OrderFault.TAKEOVER, OrderPoint.ORDER_CHECKED, occurrence = 2),
            OrderInjection(OrderFault.PAUSE_AND_TAKEOVER, OrderPoint.ORDER_CHECKED, occurrence = 2),
            OrderInjection(OrderFault.ORDERS_LATE, OrderPoint.ORDER_CHECKED, occurrence = 2),
        )
    }
}
