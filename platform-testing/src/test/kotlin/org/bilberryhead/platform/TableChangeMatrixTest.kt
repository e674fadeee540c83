package org.bilberryhead.platform

import com.github.michaelbull.result.get
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
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
import org.bilberryhead.platform.testing.StoreFault
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private enum class ChangeFault {
    NONE,
    ENTRY_KILLED,
    ENTRY_RESTARTED,
    ENTRY_FROZEN,
    ENTRY_CUT,
    PEER_RESTARTED,
    SIDECARS_RESTARTED,
    OTHERS_RESTARTED,
    STORE_DOWN,
    STORE_SLOW,
    COMMIT_ANSWER_LOST,
    COMMIT_CALL_LOST,
    OBJECT_STORE_DOWN,
    OPERATORS_RACING,
}

private data class Hit(val fault: ChangeFault, val step: ChangeStep)

private val FAULT_LENGTH = 12.seconds
private const val SEEDS = 3
private const val PAIRS = 20
private val ISOLATING = setOf(
    ChangeFault.ENTRY_KILLED,
    ChangeFault.ENTRY_RESTARTED,
    ChangeFault.ENTRY_FROZEN,
    ChangeFault.ENTRY_CUT,
    ChangeFault.OTHERS_RESTARTED,
)
private val singles = ChangeFault.entries.flatMap { fault -> ChangeStep.entries.map { Hit(fault, it) } }

class TableChangeMatrixTest :
    DescribeSpec({
        describe("a change of the tables under a fault at a step") {
            for (hit in singles) {
                it("$hit") { (0 until SEEDS).forEach { seed -> Cell(listOf(hit), seed).run() } }
            }
        }
        describe("a change of the tables under two faults") {
            for (first in ChangeFault.entries) {
                it("first $first") {
                    val random = Random(first.ordinal)
                    val firstHits = singles.filter { it.fault == first }
                    repeat(PAIRS) { seed -> Cell(listOf(firstHits.random(random), singles.random(random)), seed).run() }
                }
            }
        }
    })

/** One cell of the matrix: the faults hit a change that entry-a takes while version 3 is in force. */
private class Cell(private val hits: List<Hit>, private val seed: Int) {
    private val proposed = change("proposed", base = 3)
    private val rival = change("rival", base = 3)
    private val fired = mutableSetOf<Hit>()
    private lateinit var scope: TestScope
    private lateinit var cluster: TableCluster
    private var rivalOutcome: ChangeOutcome? = null

    fun run() = runTest {
        scope = this
        cluster = TableCluster(this, seed)
        for (version in 0L until 3L) cluster.log.commit(change("former-$version", base = version))
        cluster.startAll()
        delay(2.seconds)
        cluster.store.before = { call ->
            if (call == StoreCall.COMMIT) atStep(ChangeStep.AT_COMMIT)
            delay(2.milliseconds)
        }
        val answer = async { cluster.process("entry-a")!!.propose(proposed, ::atStep) }
        launch { watchReadAndCommit() }
        val (outcome, holders) = answer.await()
        val clue = "$hits seed $seed: $outcome with $holders holders"
        withClue(clue) { judgeSpread(outcome, holders) }
        delay(FAULT_LENGTH * 2)
        restartEntryA()
        delay(10.seconds)
        withClue(clue) { judgeEnd(outcome) }
        withClue("$clue, rival: $rivalOutcome") { judgeRivals(outcome) }
    }

    /** The steps between the calls of the commit: after the reads, and once the effect is there. */
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

    private fun atStep(step: ChangeStep) = hits.filter { it.step == step && fired.add(it) }.forEach { hit(it.fault) }

    private fun hit(fault: ChangeFault) {
        when (fault) {
            ChangeFault.NONE -> Unit
            ChangeFault.ENTRY_KILLED -> cluster.kill("entry-a")
            ChangeFault.ENTRY_RESTARTED -> restart("entry-a")
            ChangeFault.ENTRY_FROZEN -> during({ cluster.process("entry-a")?.freeze() }) {
                cluster.process("entry-a")?.wakeUp()
            }
            ChangeFault.ENTRY_CUT -> during({ cluster.cut("entry-a") }) { cluster.mend("entry-a") }
            ChangeFault.PEER_RESTARTED -> restart("entry-b")
            ChangeFault.SIDECARS_RESTARTED -> restart("sidecar-1", "sidecar-2")
            ChangeFault.OTHERS_RESTARTED -> restart("entry-b", "sidecar-1", "sidecar-2")
            ChangeFault.STORE_DOWN -> during({ cluster.store.fault = StoreFault.DOWN }) {
                cluster.store.fault = StoreFault.NONE
            }
            ChangeFault.STORE_SLOW -> slowStore()
            ChangeFault.COMMIT_ANSWER_LOST -> cluster.store.plan(StoreCall.COMMIT, StoreFault.LOST_ANSWER)
            ChangeFault.COMMIT_CALL_LOST -> cluster.store.plan(StoreCall.COMMIT, StoreFault.LOST_CALL)
            ChangeFault.OBJECT_STORE_DOWN -> during({ cluster.objects.isDown = true }) {
                cluster.objects.isDown = false
            }
            ChangeFault.OPERATORS_RACING -> scope.launch { rivalOutcome = cluster.log.commit(rival) }
        }
    }

    private fun during(begin: () -> Unit, end: () -> Unit) {
        begin()
        scope.launch {
            delay(FAULT_LENGTH)
            end()
        }
    }

    private fun restart(vararg names: String) {
        names.forEach { cluster.kill(it) }
        scope.launch {
            delay(300.milliseconds)
            names.forEach { cluster.start(it) }
        }
    }

    private fun slowStore() {
        val usual = cluster.store.before
        during({
            cluster.store.before = {
                usual(it)
                delay(1500.milliseconds)
            }
        }) { cluster.store.before = usual }
    }

    private suspend fun restartEntryA() {
        cluster.kill("entry-a")
        cluster.start("entry-a")
    }

    /** While the faults last: a change that another process holds reaches all that are not cut off or frozen. */
    private suspend fun judgeSpread(outcome: ChangeOutcome, holders: Int) {
        delay(TableCluster.SPREAD_LIMIT)
        if (outcome !is ChangeOutcome.Committed) return
        if (mayAcceptAlone()) {
            if (holders == 0) return
        } else {
            holders shouldNotBe 0
        }
        val isSetApart = hits.any { it.fault == ChangeFault.ENTRY_FROZEN || it.fault == ChangeFault.ENTRY_CUT }
        val reached = cluster.live.filter { !(isSetApart && it.name == "entry-a") }
        reached.filter { it.tables.version < outcome.change.version }.map { it.name }.shouldBeEmpty()
    }

    /** Whether the faults can leave the accepting entry without another process that answers in time. */
    private fun mayAcceptAlone(): Boolean {
        val faults = hits.map { it.fault }
        val isAlone = faults.any { it in ISOLATING }
        return isAlone || faults.containsAll(listOf(ChangeFault.PEER_RESTARTED, ChangeFault.SIDECARS_RESTARTED))
    }

    private suspend fun judgeEnd(outcome: ChangeOutcome) {
        cluster.breaches.shouldBeEmpty()
        cluster.reverts.shouldBeEmpty()
        val changes = readAllChanges(cluster.log, TableVersion.NONE).get().shouldNotBeNull()
        val inLog = changes.fold(Tables()) { tables, change -> change.applyTo(tables) }
        cluster.live.size shouldBe 4
        cluster.live.forEach { withClue(it.name) { it.tables shouldBe inLog } }
        val isInLog = changes.any { it.id == proposed.id }
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

    private fun judgeRivals(outcome: ChangeOutcome) {
        val winners = listOf(outcome, rivalOutcome).count { it is ChangeOutcome.Committed }
        (winners <= 1) shouldBe true
    }
}

private fun change(id: String, base: Long) = TableChange(
    id = ChangeId(id),
    baseVersion = TableVersion(base),
    author = "operator",
    madeAt = TestClock.START,
    putPools = listOf(testPool("pool-$id")),
)
