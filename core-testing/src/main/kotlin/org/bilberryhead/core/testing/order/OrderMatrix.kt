package org.bilberryhead.core.testing.order

import org.bilberryhead.core.order.EngineOrderState
import kotlin.random.Random

/** Runs sessions of engine orders with faults and keeps their verdicts. */
internal class OrderMatrix(private val checks: Boolean) {
    private val broken = sortedMapOf<OrderPromise, Int>()
    private var cells = 0
    private var reached = 0

    /** Name and violations of each failed cell, with the whole session of the first ones. */
    val failures = mutableListOf<String>()

    /** Faults that struck, each with the state of the holder that it hit. */
    val strikes = mutableSetOf<Pair<OrderFault, EngineOrderState>>()

    /** Points at which some fault struck. */
    val points = mutableSetOf<OrderPoint>()

    /** Runs every fault at every arrival of every point, plain and after each prelude. */
    fun runSingles() {
        PRELUDES.forEach { prelude ->
            val base = OrderCell(checks, seed = 1, listOfNotNull(prelude))
            strikesOn(run(base)).forEach { run(base.copy(injections = base.injections + it)) }
        }
    }

    /** Runs [count] pairs of faults chosen by [random], the second among the points that the first leads to. */
    fun runPairs(random: Random, count: Int) = repeat(count) {
        val seed = random.nextInt()
        val first = strikesOn(play(OrderCell(checks, seed, emptyList()))).random(random)
        val second = strikesOn(play(OrderCell(checks, seed, listOf(first)))).random(random)
        run(OrderCell(checks, seed, listOf(first, second)))
    }

    /** Returns the session of [cell] without a verdict, as far as it went. */
    private fun play(cell: OrderCell): OrderSession = OrderSession(cell).also { session ->
        try {
            session.run()
        } catch (invariant: IllegalStateException) {
            session.note("invariant broken: ${invariant.message}")
        }
    }

    /** Returns one line of counts. */
    fun summary(title: String): String =
        "matrix: $title: $cells cells, $reached reached, ${failures.size} failed $broken"

    private fun strikesOn(session: OrderSession): List<OrderInjection> = session.arrivals.flatMap { (point, count) ->
        (1..minOf(count, MAXIMUM_OCCURRENCE)).flatMap { occurrence ->
            OrderFault.entries.map { OrderInjection(it, point, occurrence) }
        }
    }

    private fun run(cell: OrderCell): OrderSession {
        val session = OrderSession(cell)
        val violations = try {
            OrderJudge(session.run(), cell).verdict().onEach { broken.merge(it.promise, 1, Int::plus) }.map { "$it" }
        } catch (invariant: IllegalStateException) {
            listOf("invariant broken: ${invariant.message}")
        }
        cells++
        if (session.struck.keys.containsAll(cell.injections)) reached++
        session.struck.mapTo(strikes) { (injection, state) -> injection.fault to state }
        session.struck.keys.mapTo(points) { it.point }
        if (violations.isNotEmpty()) failures += describe(cell, violations, session)
        return session
    }

    private fun describe(cell: OrderCell, violations: List<String>, session: OrderSession): String {
        val lines = if (failures.size < WHOLE_SESSIONS) violations + session.lines else violations.take(1)
        return (listOf("$cell") + lines).joinToString("\n  ")
    }

    private companion object {
        const val MAXIMUM_OCCURRENCE = 24

        /** Failed cells whose whole sessions are kept. */
        const val WHOLE_SESSIONS = 3

        /** Faults that lead into the states which a normal run does not reach. */
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
