package org.bilberryhead.platform

import com.github.michaelbull.result.fold
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import kotlinx.coroutines.test.TestScope
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.message.Changes
import org.bilberryhead.core.message.FetchChanges
import org.bilberryhead.core.message.Heartbeat
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.message.Snapshot
import org.bilberryhead.core.propagation.LinkId
import org.bilberryhead.core.propagation.PropagationAction
import org.bilberryhead.core.propagation.PropagationEvent
import org.bilberryhead.core.propagation.PropagationTimings
import org.bilberryhead.core.propagation.TablePropagation
import org.bilberryhead.core.tables.TableChange
import org.bilberryhead.core.tables.Tables
import org.bilberryhead.core.testing.TestClock
import org.bilberryhead.platform.testing.FakeObjectStore
import org.bilberryhead.platform.testing.FakeTableService
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Two entries and two sidecars that run [TablePropagation] in virtual time over one table service. */
internal class TableCluster(private val scope: TestScope, seed: Int) {
    val store = FakeTableService()
    val objects = FakeObjectStore()

    /** The log as the test accesses it; each process has a [TableLog] of its own. */
    val log = TableLog(store)
    val violations = mutableListOf<String>()
    val regressions = mutableListOf<String>()
    private val random = Random(seed)
    private val processes = LinkedHashMap<String, TestProcess>()
    private val cannotSend = mutableSetOf<String>()
    private val cannotReceive = mutableSetOf<String>()
    private val topology = mapOf(
        "entry-a" to listOf("entry-b", "sidecar-1", "sidecar-2"),
        "entry-b" to listOf("entry-a", "sidecar-1", "sidecar-2"),
        "sidecar-1" to listOf("entry-a", "entry-b"),
        "sidecar-2" to listOf("entry-a", "entry-b"),
    )

    val running: Collection<TestProcess> get() = processes.values

    val now get() = TestClock.START + scope.testScheduler.currentTime.milliseconds

    fun startAll() = topology.keys.forEach { start(it) }

    fun start(name: String) {
        processes[name] = TestProcess(name, readsLog = name.startsWith("entry")).also { it.start() }
    }

    fun kill(name: String) {
        processes.remove(name)?.stop()
        topology.getValue(name).forEach { processes[it]?.closeLink(name) }
    }

    /** Drops the messages that [name] sends, those that it should receive, or both, until [reconnect]. */
    fun disconnect(name: String, sends: Boolean = true, receives: Boolean = true) {
        if (sends) cannotSend += name
        if (receives) cannotReceive += name
    }

    fun reconnect(name: String) {
        cannotSend -= name
        cannotReceive -= name
    }

    /** Delivers [message] to every neighbour of [from], like a message that was delayed for long. */
    fun deliverStale(from: String, message: Message) =
        topology.getValue(from).forEach { processes[it]?.receiveStale(from, message) }

    fun process(name: String): TestProcess? = processes[name]

    private fun isConnected(from: String, to: String) =
        from !in cannotSend && to !in cannotReceive && processes.containsKey(to)

    /** A process that runs the decision logic of core; coroutines in virtual time replace its threads and sockets. */
    inner class TestProcess(val name: String, readsLog: Boolean) {
        private val job = SupervisorJob(scope.backgroundScope.coroutineContext[Job])
        private val processScope: CoroutineScope = scope.backgroundScope + job
        private val propagation =
            TablePropagation(Random(random.nextInt()), PropagationTimings(snapshotEvery = 2), readsLog)
        private val ownLog = TableLog(store)
        private val reader = TableLogReader(ownLog, TableSnapshots(objects), minimumChangesForSnapshot = 2)
        private val accepted = HashMap<TableVersion, CompletableDeferred<Int>>()
        private val lastReceivedAt = HashMap<String, Long>()
        private var timer: Job? = null
        private var frozen: CompletableDeferred<Unit>? = null

        var tables = Tables()
            private set

        fun start() {
            handle(PropagationEvent.TimerDue)
            processScope.launch { heartbeats() }
        }

        fun stop() = job.cancel()

        fun freeze() {
            frozen = CompletableDeferred()
        }

        fun unfreeze() {
            frozen?.complete(Unit)
            frozen = null
        }

        /** Runs the steps of a change as an entry does, and calls [atStep] at each. */
        suspend fun propose(
            change: TableChange,
            isFirst: Boolean = true,
            atStep: (ChangeStep) -> Unit = {},
        ): Pair<ChangeOutcome, Int> {
            atStep(ChangeStep.BEFORE_READ)
            val result = CompletableDeferred<Pair<ChangeOutcome, Int>>()
            processScope.launch {
                val outcome = ownLog.commit(change, isFirst)
                frozen?.await()
                if (outcome !is ChangeOutcome.Committed) {
                    result.complete(outcome to 0)
                    return@launch
                }
                atStep(ChangeStep.BEFORE_PUSH)
                delay(1.milliseconds)
                val holderCount = accepted.getOrPut(change.version) { CompletableDeferred() }
                handle(PropagationEvent.Committed(change))
                atStep(ChangeStep.AFTER_PUSH)
                result.complete(outcome to holderCount.await())
            }
            job.invokeOnCompletion { result.complete(ChangeOutcome.Unknown("the entry was stopped") to 0) }
            return result.await()
        }

        fun receiveStale(from: String, message: Message) {
            if (frozen == null && name !in cannotReceive) receive(from, message)
        }

        fun closeLink(other: String) = handle(PropagationEvent.LinkClosed(LinkId(other)))

        private suspend fun heartbeats() {
            while (true) {
                frozen?.await()
                for (other in topology.getValue(name)) {
                    send(other, Heartbeat(propagation.tables.version))
                    val receivedAt = lastReceivedAt[other] ?: continue
                    if (scope.testScheduler.currentTime - receivedAt > 2_000) {
                        lastReceivedAt.remove(other)
                        closeLink(other)
                    }
                }
                delay(500.milliseconds)
            }
        }

        private fun send(other: String, message: Message) {
            if (!isConnected(name, other)) return
            val target = processes.getValue(other)
            val latency = random.nextInt(1, 5).milliseconds
            target.processScope.launch {
                delay(latency)
                target.frozen?.await()
                if (isConnected(name, other)) target.receive(name, message)
            }
        }

        private fun receive(from: String, message: Message) {
            if (from !in processes) return
            lastReceivedAt[from] = scope.testScheduler.currentTime
            val link = LinkId(from)
            val event = when (message) {
                is Heartbeat -> PropagationEvent.VersionReported(link, DaemonId(from), message.tableVersion)
                is FetchChanges -> PropagationEvent.ChangesRequested(link, message.after)
                is Changes -> PropagationEvent.ChangesReceived(link, message.changes)
                is Snapshot -> PropagationEvent.SnapshotReceived(link, message)
                else -> error("unexpected message: $message")
            }
            handle(event)
        }

        private fun handle(event: PropagationEvent) = propagation.handle(event, now).forEach { perform(it) }

        private fun perform(action: PropagationAction) {
            when (action) {
                is PropagationAction.ReadLog -> processScope.launch { readLog(action.after) }
                is PropagationAction.StartTimer -> startTimer(action)
                is PropagationAction.Send -> send(action.link.value, action.message)
                is PropagationAction.PublishTables -> publishTables(action.tables)
                is PropagationAction.ReportAccepted ->
                    accepted.getOrPut(action.version) { CompletableDeferred() }.complete(action.holderCount)
                is PropagationAction.StoreSnapshot ->
                    processScope.launch { TableSnapshots(objects).write(action.snapshot) }
                is PropagationAction.ReportInvariantViolation -> violations += "$name: ${action.detail}"
            }
        }

        private fun publishTables(newer: Tables) {
            if (newer.version <= tables.version) regressions += "$name: ${tables.version} replaced by ${newer.version}"
            tables = newer
        }

        private suspend fun readLog(after: TableVersion) {
            val event = reader.read(after)
                .fold({ PropagationEvent.LogRead(after, it) }, { PropagationEvent.LogReadFailed(it.detail) })
            frozen?.await()
            handle(event)
        }

        private fun startTimer(action: PropagationAction.StartTimer) {
            timer?.cancel()
            timer = processScope.launch {
                // Virtual time moves in whole milliseconds.
                delay((action.at - now).coerceAtLeast(1.milliseconds))
                frozen?.await()
                handle(PropagationEvent.TimerDue)
            }
        }
    }

    companion object {
        /** Time within which every running process must have an accepted change. */
        val MAXIMUM_PROPAGATION_TIME = 9.seconds
    }
}
