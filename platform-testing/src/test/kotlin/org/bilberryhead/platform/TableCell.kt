package org.bilberryhead.platform

import com.github.michaelbull.result.get
import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.bilberryhead.core.common.ChangeId
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.tables.TableChange
import org.bilberryhead.core.tables.Tables
import org.bilberryhead.core.testing.TestClock
import org.bilberryhead.core.testing.testPool
import org.bilberryhead.platform.testing.StoreCall
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal fun testChange(id: String, base: Long) = TableChange(
    id = ChangeId(id),
    baseVersion = TableVersion(base),
    author = "operator",
    madeAt = TestClock.START,
    putPools = listOf(testPool("pool-$id")),
)

/** A cell of the test matrix: injects faults into a change that entry-a accepts while version 3 is current. */
internal class TableCell(private val injectedFaults: List<InjectedFault>, private val seed: Int) {
    private val history = List(3) { testChange("former-$it", base = it.toLong()) }
    private val proposed = testChange("proposed", base = 3)
    private val rival = testChange("rival", base = 3)
    private val faults = injectedFaults.map { it.fault }.toSet()
    private val triggered = mutableSetOf<InjectedFault>()

    /** Outcomes of the proposed change that operators received, in order. */
    private val outcomes = mutableListOf<ChangeOutcome>()
    private var rivalOutcome: ChangeOutcome? = null

    /** Whether the time in which faults are injected has ended. */
    private var faultsEnded = false
    private lateinit var scope: TestScope
    private lateinit var cluster: TableCluster
    private lateinit var script: TableFaultScript

    /** Runs the cell and returns whether all of its faults were injected. */
    fun run(): Boolean {
        runTest { runCell() }
        return triggered.size == injectedFaults.toSet().size
    }

    private suspend fun TestScope.runCell() {
        scope = this
        cluster = TableCluster(this, seed)
        script = TableFaultScript(cluster, this, history, Random(seed), { launch { repeatProposal() } }) {
            launch { rivalOutcome = cluster.log.commit(rival) }
        }
        history.forEach { cluster.log.commit(it) }
        cluster.startAll()
        delay(2.seconds)
        withClue("$injectedFaults seed $seed, outcomes $outcomes") { runScenario() }
    }

    private suspend fun runScenario() {
        cluster.store.beforeCall = { call ->
            if (call == StoreCall.COMMIT) atStep(ChangeStep.AT_COMMIT)
            delay(2.milliseconds)
        }
        val result = scope.async { cluster.process("entry-a")!!.propose(proposed, isFirst = true, ::atStep) }
        scope.launch { watchReadAndCommit() }
        val (outcome, holders) = result.await()
        outcomes += outcome
        if (outcome is ChangeOutcome.Unknown) repeatProposal()
        withClue("first outcome $outcome with $holders holders") { verifyPropagation(outcome, holders) }
        delay(TableFaultScript.FAULT_DURATION)
        faultsEnded = true
        if (outcomes.last() is ChangeOutcome.Unknown) repeatProposal()
        restartEntryA()
        delay(MAXIMUM_CONVERGENCE_TIME)
        withClue("outcomes $outcomes, rival outcome $rivalOutcome") { verifyFinalState() }
    }

    /** Proposes the change again, on the other entry, as an operator does. */
    private suspend fun repeatProposal() {
        val entry = cluster.process("entry-b") ?: return
        outcomes += entry.propose(proposed, isFirst = false).first
    }

    /** Reports the steps between the commit's calls: after its reads, and after it took effect. */
    private suspend fun watchReadAndCommit() {
        delay(5.milliseconds)
        atStep(ChangeStep.AFTER_READ)
        repeat(200) {
            if (cluster.store.committed.any { transaction -> transaction.writes.any { "proposed" in it.value } }) {
                return atStep(ChangeStep.AFTER_COMMIT)
            }
            delay(1.milliseconds)
        }
    }

    private fun atStep(step: ChangeStep) =
        injectedFaults.filter { !faultsEnded && it.step == step && triggered.add(it) }
            .forEach { script.inject(it.fault) }

    private fun restartEntryA() {
        cluster.kill("entry-a")
        cluster.start("entry-a")
    }

    /** Verifies, while the faults last, that a change that another process has reaches all that are not isolated. */
    private suspend fun verifyPropagation(outcome: ChangeOutcome, holders: Int) {
        delay(TableCluster.MAXIMUM_PROPAGATION_TIME)
        verifyStartWithoutStore()
        if (outcome !is ChangeOutcome.Committed) return
        if (mayLackHolders()) {
            if (holders == 0) return
        } else {
            holders shouldNotBe 0
        }
        val isolated = setOfNotNull(
            "entry-a".takeIf { faults.any { it.canIsolateEntry } },
            "entry-b".takeIf { TableFault.PEER_CANNOT_SEND in faults || TableFault.PEER_CANNOT_RECEIVE in faults },
        )
        val reachable = cluster.running.filter { it.name !in isolated }
        reachable.filter { it.tables.version < outcome.change.version }.map { it.name }.shouldBeEmpty()
    }

    /** Verifies that an entry that starts while the store is down gets the tables from other processes. */
    private fun verifyStartWithoutStore() {
        val isApplicable = faults == setOf(TableFault.ENTRY_RESTARTED_WITHOUT_STORE) && triggered.isNotEmpty()
        if (isApplicable) (cluster.process("entry-a")!!.tables.version >= TableVersion(3)) shouldBe true
    }

    /** Whether the faults can keep all other processes from responding to the accepting entry in time. */
    private fun mayLackHolders(): Boolean {
        val isPeerUnreachable = faults.any { it in PEER_UNREACHABLE }
        return faults.any { it.canIsolateEntry } || (isPeerUnreachable && TableFault.SIDECARS_RESTARTED in faults)
    }

    private suspend fun verifyFinalState() {
        cluster.regressions.shouldBeEmpty()
        if (triggered.any { it.fault == TableFault.LOG_ROLLED_BACK }) return verifyLogRolledBack()
        verifyViolations()
        val changes = readAllChanges(cluster.log, TableVersion.NONE).get().shouldNotBeNull()
        val inLog = changes.fold(Tables()) { tables, change -> change.applyTo(tables) }
        cluster.running.size shouldBe 4
        cluster.running.forEach { withClue(it.name) { it.tables shouldBe inLog } }
        val isInLog = changes.any { it.id == proposed.id }
        outcomes.forEach { verifyOutcome(it, isInLog) }
        outcomes.last().shouldNotBeUnknown()
        (listOf(outcomes.last(), rivalOutcome).count { it is ChangeOutcome.Committed } <= 1) shouldBe true
    }

    /** Verifies that invariant violations are reported only for forged changes. */
    private fun verifyViolations() {
        val forged = cluster.violations.filter { "forged" in it }
        (cluster.violations - forged.toSet()).shouldBeEmpty()
        if (triggered.singleOrNull()?.fault == TableFault.CONFLICTING_PEER) forged.shouldNotBeEmpty()
    }

    /** Verifies that processes keep their current tables and report that the log ends before them. */
    private suspend fun verifyLogRolledBack() {
        val head = cluster.log.head().get().shouldNotBeNull()
        val newest = cluster.running.maxOf { it.tables.version }
        if (newest > head) cluster.violations.filter { "the log ends at" in it }.shouldNotBeEmpty()
        if (injectedFaults.size == 1) (newest >= TableVersion(3)) shouldBe true
    }

    private fun verifyOutcome(outcome: ChangeOutcome, isInLog: Boolean) {
        when (outcome) {
            is ChangeOutcome.Committed -> isInLog shouldBe true
            is ChangeOutcome.NotCommitted -> isInLog shouldBe false
            is ChangeOutcome.LostRace -> {
                isInLog shouldBe false
                outcome.winner.shouldNotBeNull().id shouldNotBe proposed.id
            }
            is ChangeOutcome.Unknown -> Unit
        }
    }

    private fun ChangeOutcome.shouldNotBeUnknown() = (this is ChangeOutcome.Unknown) shouldBe false

    private companion object {
        /** Time after the end of the faults within which every process must have all logged changes. */
        val MAXIMUM_CONVERGENCE_TIME = 6.seconds
        val PEER_UNREACHABLE =
            setOf(TableFault.PEER_RESTARTED, TableFault.PEER_CANNOT_SEND, TableFault.PEER_CANNOT_RECEIVE)
    }
}
