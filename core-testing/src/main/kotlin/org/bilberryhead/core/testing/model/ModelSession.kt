package org.bilberryhead.core.testing.model

import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.gate.ConnectionId
import org.bilberryhead.core.message.AttemptLocation
import org.bilberryhead.core.message.AttemptMessage
import org.bilberryhead.core.message.Cancel
import org.bilberryhead.core.message.Dispatch
import org.bilberryhead.core.message.Failed
import org.bilberryhead.core.message.Forgotten
import org.bilberryhead.core.message.Frame
import org.bilberryhead.core.message.Move
import org.bilberryhead.core.message.Query
import org.bilberryhead.core.message.Refused
import org.bilberryhead.core.message.Running
import org.bilberryhead.core.pipeline.AdmittedRequest
import org.bilberryhead.core.pipeline.ExecutionTimings
import org.bilberryhead.core.pipeline.RequestOutcome
import org.bilberryhead.core.testing.TestClock
import org.bilberryhead.core.testing.testPool
import org.bilberryhead.core.testing.testTables
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * One run of [scenario] in virtual time: two callers, two entries, three sidecars for each stage, and the faults of
 * [injections]. The same arguments give the same session, line by line.
 */
internal class ModelSession(val scenario: Scenario, val seed: Int, private val injections: List<Injection>) {
    private val reports = mutableListOf<String>()
    private var connections = 0L
    private var requests = 0
    val arrivals = sortedMapOf<Step, Int>()
    val loop = EventLoop()
    val random = Random(seed)
    val lines = mutableListOf<String>()
    val effects = mutableListOf<Effect>()
    val dispatched = mutableSetOf<RequestId>()
    val struck = mutableSetOf<Injection>()
    val executionTimings = ExecutionTimings(cancelMargin = 100.milliseconds, queryInterval = 100.milliseconds)
    val tables = testTables(
        routes = listOf(scenario.route),
        pools = scenario.route.stages.map { testPool(it.pool.value, size = scenario.poolSize) },
    )
    val sidecars = tables.pools.values.flatMap { it.endpoints }.map { ModelSidecar(this, it) }
    private val entries = List(2) { ModelEntry(this, "entry-$it") }
    val orders = listOf("a", "b").map { Order("account-$it", it, expectedAnswer(it)) }

    /** Broken promises that were seen while the session ran. */
    val seen: List<String> get() = reports

    /** Runs the session until every caller is told and late effects have had their time. */
    fun run(): ModelSession {
        sidecars.forEach { it.start() }
        entries.forEach { it.start() }
        loop.runUntil(loop.clock.now() + SETTLE_TIME)
        orders.forEach(::begin)
        runUntilSettled()
        if (scenario.isTicketed) orders.forEach { submit(it, entries.first(), isProbe = true) }
        runUntilSettled()
        return this
    }

    /** A message about an attempt left its sender. */
    fun sent(message: AttemptMessage, place: Place, from: String, to: String) {
        if (message is Dispatch) dispatched += message.request
        arrive(stepOf(message, isArrival = false), place, "$from > $to: ${describe(message)}")
    }

    /** A message about an attempt reached [name]. */
    fun arrived(message: AttemptMessage, place: Place, name: String) =
        arrive(stepOf(message, isArrival = true), place, "$name < ${describe(message)}")

    /** The session is at [step]; a fault that waits for it strikes once the present event is over. */
    fun arrive(step: Step, place: Place, line: String) {
        note(line)
        val occurrence = arrivals.merge(step, 1, Int::plus)
        injections.filter { it.step == step && it.occurrence == occurrence }.forEach { injection ->
            struck += injection
            loop.after(Duration.ZERO) { strike(injection.fault, place) }
        }
    }

    fun note(line: String) {
        lines += "${loop.clock.now() - TestClock.START} $line"
    }

    /** A promise is seen broken. */
    fun report(violation: String) {
        reports += violation
    }

    fun newConnection(entry: ModelEntry, sidecar: ModelSidecar) =
        ModelConnection(this, ConnectionId(connections++), entry, sidecar)

    /** The caller of [submission] is told [outcome], or loses the connection to its entry when that is null. */
    fun told(submission: Submission, outcome: RequestOutcome?) {
        submission.outcome = outcome
        submission.toldAt = loop.clock.now()
        note("caller of ${submission.request.id} is told ${describe(outcome)}")
        val order = submission.order
        val mayResubmit = scenario.isTicketed && !submission.isProbe && order.submissions.none { it.isAnswered }
        if (!mayResubmit || order.submissions.size >= MAXIMUM_SUBMISSIONS) return
        val next = entries[order.submissions.size % entries.size]
        loop.after(RESUBMIT_DELAY) { submit(order, next) }
    }

    private fun begin(order: Order) {
        submit(order, entries.first())
        if (scenario.isTicketed) loop.after(SECOND_DELAY) { submit(order, entries.last()) }
    }

    private fun submit(order: Order, entry: ModelEntry, isProbe: Boolean = false) {
        val now = loop.clock.now()
        val request = AdmittedRequest(
            id = RequestId("run.${++requests}"),
            clientAccount = ClientAccount(order.account),
            payload = Payload.ofText(order.input),
            deadline = now + DEADLINE,
            ticket = if (scenario.isTicketed) ticketOf(order) else null,
        )
        val submission = Submission(order, request, now, effects.size, isProbe)
        order.submissions += submission
        note("caller ${order.account} sends ${request.id} to ${entry.name}")
        if (entry.process.isAlive) entry.submit(submission) else told(submission, null)
    }

    private fun ticketOf(order: Order): AttemptLocation {
        val sidecar = sidecars.first { it.endpoint.id.value == "order-0" }
        val name = if (scenario.isTicketShared) "shared" else order.input
        return order.submissions.firstOrNull()?.request?.ticket
            ?: AttemptLocation(sidecar.endpoint.id, sidecar.incarnation, AttemptId("ticket-$name:0"))
    }

    private fun runUntilSettled() {
        var rounds = 0
        do {
            loop.runUntil(loop.clock.now() + DEADLINE)
        } while (orders.any { !isSettled(it) } && ++rounds < MAXIMUM_ROUNDS)
        loop.runUntil(loop.clock.now() + ModelEndpoint.STRAGGLER_TIME)
    }

    private fun isSettled(order: Order): Boolean {
        val isTold = order.submissions.all { it.toldAt != null }
        val isOver = !scenario.isTicketed || order.submissions.size >= MAXIMUM_SUBMISSIONS
        return isTold && (isOver || order.submissions.any { it.isAnswered })
    }

    private fun strike(fault: Fault, place: Place) {
        note("FAULT $fault at ${place.entry?.name ?: "any entry"} and ${place.sidecar?.name ?: "any sidecar"}")
        val sidecar = place.sidecar ?: sidecars.first()
        val entry = place.entry ?: entries.first()
        when (fault) {
            Fault.KILL_SIDECAR -> if (sidecar.process.isAlive) sidecar.kill()
            Fault.FREEZE_SIDECAR -> sidecar.freeze()
            Fault.KILL_ENTRY -> if (entry.process.isAlive) entry.kill()
            Fault.FREEZE_ENTRY -> entry.freeze()
            Fault.LEAVE_SIDECAR -> sidecar.leave()
            Fault.ENDPOINT_STRAGGLES,
            Fault.ENDPOINT_REFUSES,
            Fault.ENDPOINT_FAILS_BEFORE_EFFECT,
            Fault.ENDPOINT_FAILS_AFTER_EFFECT,
            Fault.ENDPOINT_SILENT,
            -> sidecar.strike(fault)
            else -> (place.connection ?: entry.connectionTo(sidecar))?.strike(fault)
        }
    }

    private fun expectedAnswer(input: String): String =
        input + scenario.route.stages.joinToString("") { ">${it.name.value}" }

    private fun stepOf(message: AttemptMessage, isArrival: Boolean): Step = when (message) {
        is Dispatch -> if (isArrival) Step.DISPATCH_ARRIVED else Step.DISPATCH_SENT
        is Query -> if (isArrival) Step.QUERY_ARRIVED else Step.QUERY_SENT
        is Cancel -> if (isArrival) Step.CANCEL_ARRIVED else Step.CANCEL_SENT
        is Move -> if (isArrival) Step.MOVE_ARRIVED else Step.MOVE_SENT
        is Frame -> when {
            message.last -> if (isArrival) Step.LAST_FRAME_ARRIVED else Step.LAST_FRAME_SENT
            else -> if (isArrival) Step.FRAME_ARRIVED else Step.FRAME_SENT
        }
        is Refused -> if (isArrival) Step.REFUSED_ARRIVED else Step.REFUSED_SENT
        is Failed -> if (isArrival) Step.FAILED_ARRIVED else Step.FAILED_SENT
        is Running -> if (isArrival) Step.RUNNING_ARRIVED else Step.RUNNING_SENT
        is Forgotten -> if (isArrival) Step.FORGOTTEN_ARRIVED else Step.FORGOTTEN_SENT
    }

    private fun describe(message: AttemptMessage): String = when (message) {
        is Dispatch -> "dispatch ${message.attempt} ${message.stage.value} of ${message.request}"
        is Query -> "query ${message.attempt} from frame ${message.resumeAt}"
        is Cancel -> "cancel ${message.attempt}" + if (message.onlyIfWaiting) " if it waits" else ""
        is Move -> "move ${message.attempt} to ${message.target.endpoint} as ${message.target.attempt}"
        is Frame -> "frame ${message.number} of ${message.attempt} '${message.payload.text()}'" +
            if (message.last) " last" else ""
        is Refused ->
            "refused ${message.attempt} ${message.reason}" +
                message.movedTo?.let { " moved to ${it.endpoint} as ${it.attempt}" }.orEmpty()
        is Failed -> "failed ${message.attempt} ${message.detail}"
        is Running -> "running ${message.attempt}"
        is Forgotten -> "forgotten ${message.attempt}"
    }

    private fun describe(outcome: RequestOutcome?): String = when (outcome) {
        null -> "nothing"
        is RequestOutcome.Answered -> "answered '${outcome.payload.text()}'"
        is RequestOutcome.NotRun -> "not run, ${outcome.reason}"
        is RequestOutcome.Unknown -> "unknown, ${outcome.reason}" + if (outcome.repeatable) ", repeatable" else ""
    }

    private companion object {
        const val MAXIMUM_SUBMISSIONS = 5

        /** Deadlines after which a session ends although a caller was not told. */
        const val MAXIMUM_ROUNDS = 20
        val SETTLE_TIME = 10.milliseconds
        val DEADLINE = 2000.milliseconds
        val SECOND_DELAY = 1.milliseconds
        val RESUBMIT_DELAY = 300.milliseconds
    }
}
