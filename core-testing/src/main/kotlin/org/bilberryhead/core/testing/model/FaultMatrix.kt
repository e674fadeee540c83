package org.bilberryhead.core.testing.model

import kotlin.random.Random

/** One cell of the fault matrix: the scenario, seed and faults of one session. */
internal data class Cell(val scenario: Scenario, val seed: Int, val injections: List<Injection>) {
    override fun toString(): String = "$scenario seed $seed: ${injections.joinToString(" then ")}"
}

/** Runs cells and collects the violations that they show. */
internal class FaultMatrix {
    private val outcomes = sortedMapOf<String, Int>()
    private val violationCounts = sortedMapOf<Invariant, Int>()
    private var cells = 0

    /** Number of cells in which every planned fault was injected. */
    var cellsReached = 0
        private set

    /** Name, violations and session log of each failed cell. */
    val failures = mutableListOf<String>()

    /** Steps at which at least one fault was injected. */
    val stepsReached = mutableSetOf<Step>()

    /** Runs sessions with each fault at each step, without and with each of [PRELUDES]. */
    fun runSingleFaults(scenario: Scenario) {
        PRELUDES.forEach { prelude ->
            val base = Cell(scenario, seed = 1, listOfNotNull(prelude))
            injectionsFor(run(base)).forEach { run(base.copy(injections = base.injections + it)) }
        }
    }

    /**
     * Returns an injection of every fault at every second occurrence of each step of [session]. Its two callers send
     * equivalent requests, so adjacent occurrences are equivalent too.
     */
    private fun injectionsFor(session: ModelSession): List<Injection> = session.stepCounts.flatMap { (step, count) ->
        (1..minOf(count, MAXIMUM_OCCURRENCE) step 2).flatMap { occurrence ->
            Fault.entries.map { Injection(it, step, occurrence) }
        }
    }

    /** Runs [count] pairs of faults chosen by [random], the second at a step that is reached after the first. */
    fun runFaultPairs(scenario: Scenario, random: Random, count: Int) {
        val withoutFaults = ModelSession(scenario, seed = 1, injections = emptyList()).run()
        repeat(count) {
            val seed = random.nextInt()
            val first = randomInjection(withoutFaults, random)
            val withFirst = ModelSession(scenario, seed, listOf(first)).run()
            run(Cell(scenario, seed, listOf(first, randomInjection(withFirst, random))))
        }
    }

    private fun randomInjection(session: ModelSession, random: Random): Injection {
        val step = session.stepCounts.keys.random(random)
        return Injection(Fault.entries.random(random), step, random.nextInt(session.stepCounts.getValue(step)) + 1)
    }

    /** Runs [cell], checks its invariants and returns its session. */
    fun run(cell: Cell): ModelSession {
        val session = ModelSession(cell.scenario, cell.seed, cell.injections)
        val violations = try {
            InvariantChecker(session.run()).check().map {
                "${it.invariant}: ${it.detail}".also { _ -> count(it.invariant) }
            }
        } catch (error: IllegalStateException) {
            listOf("check failed in the session: ${error.message}")
        }
        cells++
        if (session.injected.containsAll(cell.injections)) cellsReached++
        session.injected.mapTo(stepsReached) { it.step }
        session.orders.flatMap { it.submissions }.forEach { submission ->
            outcomes.merge(submission.outcome?.let { it::class.simpleName } ?: "EntryDied", 1, Int::plus)
        }
        if (violations.isNotEmpty()) failures += describe(cell, violations, session)
        return session
    }

    /** Returns the counts in one line. */
    fun summary(title: String): String =
        "matrix: $title: $cells cells, $cellsReached reached, ${failures.size} failed $violationCounts, $outcomes"

    /** Returns the names of all failed cells and the session logs of the first [sessionCount]. */
    fun report(sessionCount: Int): String {
        val names = failures.map { it.substringBefore("\n    ") }
        return (names + failures.take(sessionCount)).joinToString("\n")
    }

    private fun count(invariant: Invariant) {
        violationCounts.merge(invariant, 1, Int::plus)
    }

    private fun describe(cell: Cell, violations: List<String>, session: ModelSession): String =
        "$cell\n  ${violations.joinToString("\n  ")}\n    ${session.logLines.joinToString("\n    ")}"

    private companion object {
        const val MAXIMUM_OCCURRENCE = 9

        /** Faults that lead to steps which a session without faults does not reach. */
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
