package org.bilberryhead.core.testing.model

import kotlin.random.Random

/** One cell of the fault matrix: the arguments of a session. */
internal data class Cell(val scenario: Scenario, val seed: Int, val injections: List<Injection>) {
    override fun toString(): String = "$scenario seed $seed: ${injections.joinToString(" then ")}"
}

/** Runs cells and keeps their verdicts. */
internal class FaultMatrix {
    private val outcomes = sortedMapOf<String, Int>()
    private val broken = sortedMapOf<Promise, Int>()
    private var cells = 0

    /** Cells whose faults all struck. */
    var reached = 0
        private set

    /** Name, violations and session of each failed cell. */
    val failures = mutableListOf<String>()

    /** Steps at which some fault struck. */
    val stepsReached = mutableSetOf<Step>()

    /** Runs every fault at every step, plain and after each prelude. */
    fun runSingles(scenario: Scenario) {
        PRELUDES.forEach { prelude ->
            val base = Cell(scenario, seed = 1, listOfNotNull(prelude))
            strikesOn(run(base)).forEach { run(base.copy(injections = base.injections + it)) }
        }
    }

    /** Every fault at the arrivals of [session] at each step, every other one as two callers do the same. */
    private fun strikesOn(session: ModelSession): List<Injection> = session.arrivals.flatMap { (step, count) ->
        (1..minOf(count, MAXIMUM_OCCURRENCE) step 2).flatMap { occurrence ->
            Fault.entries.map { Injection(it, step, occurrence) }
        }
    }

    /** Runs [count] pairs of faults chosen by [random], the second among the steps that the first leads to. */
    fun runPairs(scenario: Scenario, random: Random, count: Int) {
        val plain = ModelSession(scenario, seed = 1, injections = emptyList()).run()
        repeat(count) {
            val seed = random.nextInt()
            val first = strikeOn(plain, random)
            val led = ModelSession(scenario, seed, listOf(first)).run()
            run(Cell(scenario, seed, listOf(first, strikeOn(led, random))))
        }
    }

    private fun strikeOn(session: ModelSession, random: Random): Injection {
        val step = session.arrivals.keys.random(random)
        return Injection(Fault.entries.random(random), step, random.nextInt(session.arrivals.getValue(step)) + 1)
    }

    /** Runs [cell], judges it and returns its session. */
    fun run(cell: Cell): ModelSession {
        val session = ModelSession(cell.scenario, cell.seed, cell.injections)
        val violations = try {
            Judge(session.run()).verdict().map { "${it.promise}: ${it.detail}".also { _ -> count(it.promise) } }
        } catch (invariant: IllegalStateException) {
            listOf("invariant broken: ${invariant.message}")
        }
        cells++
        if (session.struck.containsAll(cell.injections)) reached++
        session.struck.mapTo(stepsReached) { it.step }
        session.orders.flatMap { it.submissions }.forEach { submission ->
            outcomes.merge(submission.outcome?.let { it::class.simpleName } ?: "EntryDied", 1, Int::plus)
        }
        if (violations.isNotEmpty()) failures += describe(cell, violations, session)
        return session
    }

    /** Returns one line of counts. */
    fun summary(title: String): String =
        "matrix: $title: $cells cells, $reached reached, ${failures.size} failed $broken, told $outcomes"

    /** Returns the names of all failed cells and the sessions of the first [sessions]. */
    fun report(sessions: Int): String {
        val names = failures.map { it.substringBefore("\n    ") }
        return (names + failures.take(sessions)).joinToString("\n")
    }

    private fun count(promise: Promise) {
        broken.merge(promise, 1, Int::plus)
    }

    private fun describe(cell: Cell, violations: List<String>, session: ModelSession): String =
        "$cell\n  ${violations.joinToString("\n  ")}\n    ${session.lines.joinToString("\n    ")}"

    private companion object {
        const val MAXIMUM_OCCURRENCE = 9

        /** Faults that lead into the steps which a normal run does not reach. */
        val PRELUDES = listOf(
            null,
            Injection(Fault.CUT_CONNECTION, Step.DISPATCH_ARRIVED),
            Injection(Fault.LEAVE_SIDECAR, Step.DISPATCH_SENT),
            Injection(Fault.ENDPOINT_REFUSES, Step.RUN_STARTED),
            Injection(Fault.ENDPOINT_STRAGGLES, Step.RUN_STARTED),
            Injection(Fault.KILL_SIDECAR, Step.RUN_STARTED),
            Injection(Fault.ENDPOINT_FAILS_AFTER_EFFECT, Step.RUN_STARTED),
        )
    }
}
