package org.bilberryhead.platform

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.bilberryhead.core.common.ChangeId
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.message.Changes
import org.bilberryhead.core.message.Heartbeat
import org.bilberryhead.core.message.Snapshot
import org.bilberryhead.core.tables.TableChange
import org.bilberryhead.core.tables.Tables
import org.bilberryhead.platform.testing.StoreCall
import org.bilberryhead.platform.testing.StoreFault
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Lets faults happen to a [TableCluster]. */
internal class TableFaultScript(
    private val cluster: TableCluster,
    private val scope: CoroutineScope,
    private val history: List<TableChange>,
    private val random: Random,
    private val repeat: () -> Unit,
    private val race: () -> Unit,
) {
    private val store get() = cluster.store
    private val old = history.take(OLD_CHANGES).fold(Tables()) { tables, change -> change.applyTo(tables) }

    fun hit(fault: TableFault) = when (fault) {
        TableFault.NONE -> Unit
        TableFault.OPERATORS_RACING -> race()
        TableFault.OPERATOR_REPEATS -> repeat()
        TableFault.STALE_PEER -> repeatedly { deliverStale("entry-b") }
        TableFault.STALE_SIDECAR -> repeatedly { deliverStale("sidecar-2") }
        TableFault.CONTRADICTING_PEER ->
            repeatedly { cluster.deliverStale("entry-b", Changes(listOf(forgedChange(history.last().baseVersion)))) }
        TableFault.STALE_SNAPSHOT -> repeatedly { write(Snapshot(old, history[OLD_CHANGES - 1].id)) }
        TableFault.SNAPSHOT_OF_ANOTHER_LOG -> repeatedly { write(alienSnapshot()) }
        TableFault.LOG_SET_BACK -> setLogBack()
        else -> {
            hitProcess(fault)
            hitStore(fault)
        }
    }

    private fun hitProcess(fault: TableFault) = when (fault) {
        TableFault.ENTRY_KILLED -> cluster.kill("entry-a")
        TableFault.ENTRY_RESTARTED, TableFault.ENTRY_RESTARTED_WITHOUT_STORE -> restart("entry-a")
        TableFault.ENTRY_FROZEN -> during({ cluster.process("entry-a")?.freeze() }) {
            cluster.process("entry-a")?.wakeUp()
        }
        TableFault.ENTRY_CUT -> cut("entry-a")
        TableFault.ENTRY_MUTE -> cut("entry-a", receives = false)
        TableFault.ENTRY_DEAF -> cut("entry-a", sends = false)
        TableFault.PEER_MUTE -> cut("entry-b", receives = false)
        TableFault.PEER_DEAF -> cut("entry-b", sends = false)
        TableFault.PEER_RESTARTED -> restart("entry-b")
        TableFault.SIDECARS_RESTARTED -> restart("sidecar-1", "sidecar-2")
        TableFault.OTHERS_RESTARTED -> restart("entry-b", "sidecar-1", "sidecar-2")
        else -> Unit
    }

    private fun hitStore(fault: TableFault) = when (fault) {
        TableFault.STORE_DOWN, TableFault.ENTRY_RESTARTED_WITHOUT_STORE -> takeStoreDown()
        TableFault.STORE_SLOW -> slowStore()
        TableFault.READ_ANSWERS_LOST -> store.planFaults(StoreCall.READ, *Array(LOST_READS) { StoreFault.LOST_ANSWER })
        TableFault.COMMIT_ANSWER_LOST -> store.planFaults(StoreCall.COMMIT, StoreFault.LOST_ANSWER)
        TableFault.COMMIT_CALL_LOST -> store.planFaults(StoreCall.COMMIT, StoreFault.LOST_CALL)
        TableFault.COMMIT_LATE -> commitLate(random.nextInt(1, SOON_MILLIS).milliseconds)
        TableFault.COMMIT_VERY_LATE -> commitLate(FAULT_LENGTH)
        TableFault.COMMIT_LATE_THEN_STORE_DOWN -> {
            commitLate(random.nextInt(1, SOON_MILLIS).milliseconds)
            after(random.nextInt(1, SOON_MILLIS).milliseconds) { takeStoreDown() }
        }
        TableFault.OBJECT_STORE_DOWN -> during({ cluster.objects.isDown = true }) { cluster.objects.isDown = false }
        else -> Unit
    }

    private fun takeStoreDown() = during({ store.defaultFault = StoreFault.DOWN }) { store.defaultFault = StoreFault.NONE }

    private fun cut(name: String, sends: Boolean = true, receives: Boolean = true) =
        during({ cluster.cut(name, sends, receives) }) { cluster.mend(name) }

    private fun commitLate(time: Duration) {
        store.planFaults(StoreCall.COMMIT, StoreFault.LATE_EFFECT)
        after(time) { store.applyLateEffects() }
        // The call that the fault hits may come later than that.
        after(FAULT_LENGTH) { store.applyLateEffects() }
    }

    private fun slowStore() {
        val usual = store.beforeCall
        during({
            store.beforeCall = {
                usual(it)
                delay(SLOW)
            }
        }) { store.beforeCall = usual }
    }

    private fun deliverStale(from: String) {
        cluster.deliverStale(from, Heartbeat(old.version))
        cluster.deliverStale(from, Snapshot(old, history[OLD_CHANGES - 1].id))
        cluster.deliverStale(from, Changes(history.take(OLD_CHANGES)))
    }

    private suspend fun write(snapshot: Snapshot) {
        TableSnapshots(cluster.objects).write(snapshot)
    }

    private fun alienSnapshot() = Snapshot(old.copy(version = TableVersion(ALIEN_VERSION)), ChangeId("alien"))

    /** Takes the newest change out of the log, as a table service does that is restored from an old copy. */
    private fun setLogBack() {
        val head = checkNotNull(store.valueOf("tables/head")).toLong()
        val key = "tables/change/" + head.toString().padStart(19, '0')
        val id = history.find { it.version.value == head }?.id?.value ?: "proposed"
        store.remove(key)
        store.remove("tables/change-id/$id")
        store.put("tables/head", (head - 1).toString())
    }

    private fun restart(vararg names: String) {
        names.forEach { cluster.kill(it) }
        after(RESTART_TIME) { names.forEach { cluster.start(it) } }
    }

    private fun during(begin: () -> Unit, end: () -> Unit) {
        begin()
        after(FAULT_LENGTH, end)
    }

    private fun after(time: Duration, act: () -> Unit) {
        scope.launch {
            delay(time)
            act()
        }
    }

    private fun repeatedly(act: suspend () -> Unit) {
        scope.launch {
            repeat((FAULT_LENGTH / REPEAT_INTERVAL).toInt()) {
                act()
                delay(REPEAT_INTERVAL)
            }
        }
    }

    companion object {
        /** How long a fault lasts that ends by itself. */
        val FAULT_LENGTH = 12.seconds

        private const val OLD_CHANGES = 1
        private const val ALIEN_VERSION = 50L
        private const val LOST_READS = 6
        private const val SOON_MILLIS = 12
        private val SLOW = 1500.milliseconds
        private val RESTART_TIME = 300.milliseconds
        private val REPEAT_INTERVAL = 700.milliseconds

        /** A change that claims a version which another change made. */
        fun forgedChange(base: TableVersion) = testChange("forged", base.value)
    }
}
