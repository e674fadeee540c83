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

/** Injects faults into a [TableCluster]. */
internal class TableFaultScript(
    private val cluster: TableCluster,
    private val scope: CoroutineScope,
    private val history: List<TableChange>,
    private val random: Random,
    private val repeatProposal: () -> Unit,
    private val proposeRival: () -> Unit,
) {
    private val store get() = cluster.store
    private val oldTables = history.take(OLD_CHANGES).fold(Tables()) { tables, change -> change.applyTo(tables) }

    fun inject(fault: TableFault) = when (fault) {
        TableFault.NONE -> Unit
        TableFault.OPERATORS_RACING -> proposeRival()
        TableFault.OPERATOR_REPEATS -> repeatProposal()
        TableFault.STALE_PEER -> repeatedly { deliverStale("entry-b") }
        TableFault.STALE_SIDECAR -> repeatedly { deliverStale("sidecar-2") }
        TableFault.CONFLICTING_PEER ->
            repeatedly { cluster.deliverStale("entry-b", Changes(listOf(forgedChange(history.last().baseVersion)))) }
        TableFault.STALE_SNAPSHOT -> repeatedly { write(Snapshot(oldTables, history[OLD_CHANGES - 1].id)) }
        TableFault.SNAPSHOT_OF_ANOTHER_LOG -> repeatedly { write(snapshotOfAnotherLog()) }
        TableFault.LOG_ROLLED_BACK -> rollLogBack()
        else -> {
            injectProcessFault(fault)
            injectStoreFault(fault)
        }
    }

    private fun injectProcessFault(fault: TableFault) = when (fault) {
        TableFault.ENTRY_KILLED -> cluster.kill("entry-a")
        TableFault.ENTRY_RESTARTED, TableFault.ENTRY_RESTARTED_WITHOUT_STORE -> restart("entry-a")
        TableFault.ENTRY_FROZEN -> temporarily({ cluster.process("entry-a")?.freeze() }) {
            cluster.process("entry-a")?.unfreeze()
        }
        TableFault.ENTRY_DISCONNECTED -> disconnect("entry-a")
        TableFault.ENTRY_CANNOT_SEND -> disconnect("entry-a", receives = false)
        TableFault.ENTRY_CANNOT_RECEIVE -> disconnect("entry-a", sends = false)
        TableFault.PEER_CANNOT_SEND -> disconnect("entry-b", receives = false)
        TableFault.PEER_CANNOT_RECEIVE -> disconnect("entry-b", sends = false)
        TableFault.PEER_RESTARTED -> restart("entry-b")
        TableFault.SIDECARS_RESTARTED -> restart("sidecar-1", "sidecar-2")
        TableFault.OTHERS_RESTARTED -> restart("entry-b", "sidecar-1", "sidecar-2")
        else -> Unit
    }

    private fun injectStoreFault(fault: TableFault) = when (fault) {
        TableFault.STORE_DOWN, TableFault.ENTRY_RESTARTED_WITHOUT_STORE -> takeStoreDown()
        TableFault.STORE_SLOW -> slowDownStore()
        TableFault.READ_ANSWERS_LOST -> store.planFaults(StoreCall.READ, *Array(LOST_READS) { StoreFault.LOST_ANSWER })
        TableFault.COMMIT_ANSWER_LOST -> store.planFaults(StoreCall.COMMIT, StoreFault.LOST_ANSWER)
        TableFault.COMMIT_CALL_LOST -> store.planFaults(StoreCall.COMMIT, StoreFault.LOST_CALL)
        TableFault.COMMIT_LATE -> delayCommit(random.nextInt(1, SHORT_DELAY_MILLIS).milliseconds)
        TableFault.COMMIT_VERY_LATE -> delayCommit(FAULT_DURATION)
        TableFault.COMMIT_LATE_THEN_STORE_DOWN -> {
            delayCommit(random.nextInt(1, SHORT_DELAY_MILLIS).milliseconds)
            after(random.nextInt(1, SHORT_DELAY_MILLIS).milliseconds) { takeStoreDown() }
        }
        TableFault.OBJECT_STORE_DOWN ->
            temporarily({ cluster.objects.isDown = true }) { cluster.objects.isDown = false }
        else -> Unit
    }

    private fun takeStoreDown() =
        temporarily({ store.defaultFault = StoreFault.DOWN }) { store.defaultFault = StoreFault.NONE }

    private fun disconnect(name: String, sends: Boolean = true, receives: Boolean = true) =
        temporarily({ cluster.disconnect(name, sends, receives) }) { cluster.reconnect(name) }

    private fun delayCommit(time: Duration) {
        store.planFaults(StoreCall.COMMIT, StoreFault.LATE_EFFECT)
        after(time) { store.applyLateEffects() }
        // The commit for which the fault is planned may start only after that.
        after(FAULT_DURATION) { store.applyLateEffects() }
    }

    private fun slowDownStore() {
        val previous = store.beforeCall
        temporarily({
            store.beforeCall = {
                previous(it)
                delay(SLOW_CALL_DELAY)
            }
        }) { store.beforeCall = previous }
    }

    private fun deliverStale(from: String) {
        cluster.deliverStale(from, Heartbeat(oldTables.version))
        cluster.deliverStale(from, Snapshot(oldTables, history[OLD_CHANGES - 1].id))
        cluster.deliverStale(from, Changes(history.take(OLD_CHANGES)))
    }

    private suspend fun write(snapshot: Snapshot) {
        TableSnapshots(cluster.objects).write(snapshot)
    }

    private fun snapshotOfAnotherLog() =
        Snapshot(oldTables.copy(version = TableVersion(OTHER_LOG_VERSION)), ChangeId("alien"))

    /** Removes the newest change from the log, as if the table service was restored from an old backup. */
    private fun rollLogBack() {
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

    private fun temporarily(start: () -> Unit, end: () -> Unit) {
        start()
        after(FAULT_DURATION, end)
    }

    private fun after(time: Duration, action: () -> Unit) {
        scope.launch {
            delay(time)
            action()
        }
    }

    private fun repeatedly(action: suspend () -> Unit) {
        scope.launch {
            repeat((FAULT_DURATION / REPEAT_INTERVAL).toInt()) {
                action()
                delay(REPEAT_INTERVAL)
            }
        }
    }

    companion object {
        /** Duration of a temporary fault. */
        val FAULT_DURATION = 12.seconds

        private const val OLD_CHANGES = 1
        private const val OTHER_LOG_VERSION = 50L
        private const val LOST_READS = 6
        private const val SHORT_DELAY_MILLIS = 12
        private val SLOW_CALL_DELAY = 1500.milliseconds
        private val RESTART_TIME = 300.milliseconds
        private val REPEAT_INTERVAL = 700.milliseconds

        /** A change for a version that another change already has. */
        fun forgedChange(base: TableVersion) = testChange("forged", base.value)
    }
}
