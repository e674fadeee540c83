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

/** One cell of the matrix: the faults hit a change that entry-a takes while version 3 is in force. */
internal class TableCell(private val hits: List<Hit>, private val seed: Int) {
    private val history = List(3) { testChange("former-$it", base = it.toLong()) }
    private val proposed = testChange("proposed", base = 3)
    private val rival = testChange("rival", base = 3)
    private val faults = hits.map { it.fault }.toSet()
    private val fired = mutableSetOf<Hit>()

    /** What operators were told of the proposed change, in order. */
    private val told = mutableListOf<ChangeOutcome>()
    private var rivalOutcome: ChangeOutcome? = null

    /** Whether the time of faults has ended. */
    private var isOver = false
    private lateinit var scope: TestScope
    private lateinit var cluster: TableCluster
    private lateinit var script: TableFaultScript

    /** Runs the cell and returns whether every fault of it has struck. */
    fun run(): Boolean {
        runTest { judge() }
        return fired.size == hits.toSet().size
    }

    private suspend fun TestScope.judge() {
        scope = this
        cluster = TableCluster(this, seed)
        script = TableFaultScript(cluster, this, history, Random(seed), { launch { repeat() } }) {
            launch { rivalOutcome = cluster.log.commit(rival) }
        }
        history.forEach { cluster.log.commit(it) }
        cluster.startAll()
        delay(2.seconds)
        withClue("$hits seed $seed, told $told") { play() }
    }

    private suspend fun play() {
        cluster.store.beforeCall = { call ->
            if (call == StoreCall.COMMIT) atStep(ChangeStep.AT_COMMIT)
            delay(2.milliseconds)
        }
        val answer = scope.async { cluster.process("entry-a")!!.propose(proposed, isFirst = true, ::atStep) }
        scope.launch { watchReadAndCommit() }
        val (outcome, holders) = answer.await()
        told += outcome
        if (outcome is ChangeOutcome.Unknown) repeat()
        withClue("first told $outcome with $holders holders") { judgeSpread(outcome, holders) }
        delay(TableFaultScript.FAULT_LENGTH)
        isOver = true
        if (told.last() is ChangeOutcome.Unknown) repeat()
        restartEntryA()
        delay(SETTLE_TIME)
        withClue("told $told, rival told $rivalOutcome") { judgeEnd() }
    }

    /** The operator sends the change again, to the other entry. */
    private suspend fun repeat() {
        val entry = cluster.process("entry-b") ?: return
        told += entry.propose(proposed, isFirst = false).first
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

    private fun atStep(step: ChangeStep) =
        hits.filter { !isOver && it.step == step && fired.add(it) }.forEach { script.hit(it.fault) }

    private fun restartEntryA() {
        cluster.kill("entry-a")
        cluster.start("entry-a")
    }

    /** While the faults last: a change that another process holds reaches all that are not set apart. */
    private suspend fun judgeSpread(outcome: ChangeOutcome, holders: Int) {
        delay(TableCluster.SPREAD_LIMIT)
        judgeStartWithoutStore()
        if (outcome !is ChangeOutcome.Committed) return
        if (mayAcceptAlone()) {
            if (holders == 0) return
        } else {
            holders shouldNotBe 0
        }
        val apart = setOfNotNull(
            "entry-a".takeIf { faults.any { it.setsEntryApart } },
            "entry-b".takeIf { TableFault.PEER_MUTE in faults || TableFault.PEER_DEAF in faults },
        )
        val reached = cluster.live.filter { it.name !in apart }
        reached.filter { it.tables.version < outcome.change.version }.map { it.name }.shouldBeEmpty()
    }

    /** An entry that starts while the store is down takes the tables of others. */
    private fun judgeStartWithoutStore() {
        val isJudged = faults == setOf(TableFault.ENTRY_RESTARTED_WITHOUT_STORE) && fired.isNotEmpty()
        if (isJudged) (cluster.process("entry-a")!!.tables.version >= TableVersion(3)) shouldBe true
    }

    /** Whether the faults can leave the accepting entry without another process that answers in time. */
    private fun mayAcceptAlone(): Boolean {
        val isPeerAway = faults.any { it in PEER_AWAY }
        return faults.any { it.setsEntryApart } || (isPeerAway && TableFault.SIDECARS_RESTARTED in faults)
    }

    private suspend fun judgeEnd() {
        cluster.reverts.shouldBeEmpty()
        if (fired.any { it.fault == TableFault.LOG_SET_BACK }) return judgeLogSetBack()
        judgeBreaches()
        val changes = readAllChanges(cluster.log, TableVersion.NONE).get().shouldNotBeNull()
        val inLog = changes.fold(Tables()) { tables, change -> change.applyTo(tables) }
        cluster.live.size shouldBe 4
        cluster.live.forEach { withClue(it.name) { it.tables shouldBe inLog } }
        val isInLog = changes.any { it.id == proposed.id }
        told.forEach { judgeAnswer(it, isInLog) }
        told.last().shouldNotBeUnknown()
        (listOf(told.last(), rivalOutcome).count { it is ChangeOutcome.Committed } <= 1) shouldBe true
    }

    /** Only a process that was offered a forged change may report a broken invariant. */
    private fun judgeBreaches() {
        val forged = cluster.breaches.filter { "forged" in it }
        (cluster.breaches - forged.toSet()).shouldBeEmpty()
        if (fired.singleOrNull()?.fault == TableFault.CONTRADICTING_PEER) forged.shouldNotBeEmpty()
    }

    /** What was in force stays in force, and the operators hear of the log's loss. */
    private suspend fun judgeLogSetBack() {
        val head = cluster.log.head().get().shouldNotBeNull()
        val newest = cluster.live.maxOf { it.tables.version }
        if (newest > head) cluster.breaches.filter { "the log ends at" in it }.shouldNotBeEmpty()
        if (hits.size == 1) (newest >= TableVersion(3)) shouldBe true
    }

    private fun judgeAnswer(outcome: ChangeOutcome, isInLog: Boolean) {
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
        /** Time in which every process is to hold what the log holds once faults have ended. */
        val SETTLE_TIME = 6.seconds
        val PEER_AWAY = setOf(TableFault.PEER_RESTARTED, TableFault.PEER_MUTE, TableFault.PEER_DEAF)
    }
}
