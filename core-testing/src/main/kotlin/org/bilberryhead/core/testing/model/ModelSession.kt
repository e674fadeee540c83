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
 * [injections]. The same arguments give the same session, with an identical log.
 */
internal class ModelSession(val scenario: Scenario, val seed: Int, private val injections: List<Injection>) {
    private val observedViolations = mutableListOf<String>()
    private var connectionCount = 0L
    private var requestCount = 0
    val stepCounts = sortedMapOf<Step, Int>()
    val loop = EventLoop()
    val random = Random(seed)
    val logLines = mutableListOf<String>()
    val effects = mutableListOf<Effect>()
    val dispatched = mutableSetOf<RequestId>()
    val injected = mutableSetOf<Injection>()
    val executionTimings = ExecutionTimings(cancelMargin = 100.milliseconds, queryInterval = 100.milliseconds)
    val tables = testTables(
        routes = listOf(scenario.route),
        pools = scenario.route.stages.map { testPool(it.pool.value, size = scenario.poolSize) },
    )
    val sidecars = tables.pools.values.flatMap { it.endpoints }.map { ModelSidecar(this, it) }
    private val entries = List(2) { ModelEntry(this, "entry-$it") }
    val orders = listOf("a", "b").map { Order("account-$it", it, expectedResponse(it)) }

    /** Violations that were observed while the session ran. */
    val violations: List<String> get() = observedViolations

    /** Runs the session until every caller has an outcome, and then long enough for late effects to happen. */
    fun run(): ModelSession {
        sidecars.forEach { it.start() }
        entries.forEach { it.start() }
        loop.runUntil(loop.clock.now() + SETTLE_TIME)
        orders.forEach(::startOrder)
        runUntilSettled()
        if (scenario.isTicketed) orders.forEach { submit(it, entries.first(), isProbe = true) }
        runUntilSettled()
        return this
    }

    /** Records that [from] sent a message about an attempt to [to]. */
    fun recordSent(message: AttemptMessage, participants: Participants, from: String, to: String) {
        if (message is Dispatch) dispatched += message.request
        reach(stepOf(message, isArrival = false), participants, "$from > $to: ${describe(message)}")
    }

    /** Records that a message about an attempt arrived at [name]. */
    fun recordArrival(message: AttemptMessage, participants: Participants, name: String) =
        reach(stepOf(message, isArrival = true), participants, "$name < ${describe(message)}")

    /** Records that the session reached [step]; faults planned for it are injected after the current event. */
    fun reach(step: Step, participants: Participants, line: String) {
        log(line)
        val occurrence = stepCounts.merge(step, 1, Int::plus)
        injections.filter { it.step == step && it.occurrence == occurrence }.forEach { injection ->
            injected += injection
            loop.after(Duration.ZERO) { inject(injection.fault, participants) }
        }
    }

    fun log(line: String) {
        logLines += "${loop.clock.now() - TestClock.START} $line"
    }

    /** Records an observed violation of [Invariant.NO_WORK_AFTER_LEAVING]. */
    fun recordViolation(violation: String) {
        observedViolations += violation
    }

    fun newConnection(entry: ModelEntry, sidecar: ModelSidecar) =
        ModelConnection(this, ConnectionId(connectionCount++), entry, sidecar)

    /** Records [outcome] of [submission]; null when the entry was killed or is not running. */
    fun recordOutcome(submission: Submission, outcome: RequestOutcome?) {
        submission.outcome = outcome
        submission.completedAt = loop.clock.now()
        log("outcome of ${submission.request.id}: ${describe(outcome)}")
        val order = submission.order
        val mayResubmit = scenario.isTicketed && !submission.isProbe && order.submissions.none { it.isAnswered }
        if (!mayResubmit || order.submissions.size >= MAXIMUM_SUBMISSIONS) return
        val next = entries[order.submissions.size % entries.size]
        loop.after(RESUBMIT_DELAY) { submit(order, next) }
    }

    private fun startOrder(order: Order) {
        submit(order, entries.first())
        if (scenario.isTicketed) loop.after(SECOND_SUBMISSION_DELAY) { submit(order, entries.last()) }
    }

    private fun submit(order: Order, entry: ModelEntry, isProbe: Boolean = false) {
        val now = loop.clock.now()
        val request = AdmittedRequest(
            id = RequestId("run.${++requestCount}"),
            clientAccount = ClientAccount(order.account),
            payload = Payload.ofText(order.input),
            deadline = now + DEADLINE,
            ticket = if (scenario.isTicketed) ticketOf(order) else null,
        )
        val submission = Submission(order, request, now, effects.size, isProbe)
        order.submissions += submission
        log("caller ${order.account} sends ${request.id} to ${entry.name}")
        if (entry.process.isAlive) entry.submit(submission) else recordOutcome(submission, null)
    }

    private fun ticketOf(order: Order): AttemptLocation {
        val sidecar = sidecars.first { it.endpoint.id.value == "order-0" }
        val name = if (scenario.isTicketShared) "shared" else order.input
        return order.submissions.firstOrNull()?.request?.ticket
            ?: AttemptLocation(sidecar.endpoint.id, sidecar.incarnation, AttemptId("ticket-$name:0"))
    }

    private fun runUntilSettled() {
        var deadlinesPassed = 0
        do {
            loop.runUntil(loop.clock.now() + DEADLINE)
        } while (orders.any { !isSettled(it) } && ++deadlinesPassed < MAXIMUM_DEADLINES)
        loop.runUntil(loop.clock.now() + ModelEndpoint.STRAGGLER_DELAY)
    }

    private fun isSettled(order: Order): Boolean {
        val isCompleted = order.submissions.all { it.completedAt != null }
        val hasAllSubmissions = !scenario.isTicketed || order.submissions.size >= MAXIMUM_SUBMISSIONS
        return isCompleted && (hasAllSubmissions || order.submissions.any { it.isAnswered })
    }

    private fun inject(fault: Fault, target: Participants) {
        log("FAULT $fault at ${target.entry?.name ?: "first entry"} and ${target.sidecar?.name ?: "first sidecar"}")
        val sidecar = target.sidecar ?: sidecars.first()
        val entry = target.entry ?: entries.first()
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
            -> sidecar.inject(fault)
            else -> (target.connection ?: entry.connectionTo(sidecar))?.inject(fault)
        }
    }

    private fun expectedResponse(input: String): String =
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
        is Cancel -> "cancel ${message.attempt}" + if (message.onlyIfWaiting) " if queued" else ""
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

        /** Number of request deadlines after which a session ends even if a caller has no outcome. */
        const val MAXIMUM_DEADLINES = 20
        val SETTLE_TIME = 10.milliseconds
        val DEADLINE = 2000.milliseconds
        val SECOND_SUBMISSION_DELAY = 1.milliseconds
        val RESUBMIT_DELAY = 300.milliseconds
    }
}
