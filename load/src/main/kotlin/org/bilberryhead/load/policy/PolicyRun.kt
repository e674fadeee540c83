package org.bilberryhead.load.policy

import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.gate.GateEvent
import org.bilberryhead.core.message.Dispatch
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.pipeline.AdmittedRequest
import org.bilberryhead.core.tables.Tables
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * What one run is about. The same plan always gives the same result.
 *
 * @property loadFactor requests asked for, as a share of what the pools can do
 */
data class RunPlan(val deployment: Deployment, val scenario: Scenario, val loadFactor: Double, val seed: Int)

/** One run of the decisions of core in virtual time over the pools of one pipeline: queues and speeds, no network. */
class PolicyRun(private val plan: RunPlan, private val contender: Contender) : EndpointObserver {
    private val deployment = plan.deployment
    private val scenario = plan.scenario
    private val tables: Tables = deployment.tables(contender.objective ?: deployment.objective)
    private val time = VirtualTime()
    private val endpoints: Map<EndpointId, SimulatedEndpoint> = newEndpoints().associateBy { it.endpoint.id }
    private val exceptional = endpoints.values.single { it.isExceptional }
    private val meter = RunMeter(scenario, exceptional.endpoint.id, deployment.pools.size)
    private val entries = scenario.entryWeights.indices.map { newEntry(it) }
    private val arrivals = Random(plan.seed * ARRIVAL_SEEDS)
    private val gaussian = arrivals.asJavaRandom()
    private val demands = HashMap<RequestId, DoubleArray>()
    private val capacity = Capacity(plan).requestsPerSecond
    private var requestCount = 0

    /** Runs to the end and returns the result. */
    fun run(): RunResult {
        endpoints.values.forEach { it.start() }
        scheduleCondition()
        scheduleReports()
        scheduleArrival()
        time.runUntil(Scenario.LENGTH + Deployment.DEADLINE + 1.seconds)
        return meter.result(capacity)
    }

    override fun send(endpoint: SimulatedEndpoint, entry: Int, message: Message) {
        val target = entries[entry]
        val run = endpoint.incarnation
        time.after(target.latency(endpoint)) {
            if (endpoint.isUp && endpoint.incarnation == run) target.receive(endpoint.endpoint.id, message)
        }
    }

    override fun demand(dispatch: Dispatch): Duration {
        val stage = stageIndex(dispatch)
        return deployment.pools[stage].serviceTime * demands.getValue(dispatch.request)[stage]
    }

    override fun worked(endpoint: SimulatedEndpoint, dispatch: Dispatch, duration: Duration) =
        meter.worked(dispatch.request, endpoint.stageIndex, duration)

    private fun stageIndex(dispatch: Dispatch) = deployment.pools.indexOfFirst { it.stage == dispatch.stage.value }

    private fun newEndpoints(): List<SimulatedEndpoint> = deployment.pools.flatMapIndexed { stage, plan ->
        val isLast = stage == deployment.pools.lastIndex
        tables.pools.values.single { it.name.value == plan.service }.endpoints.mapIndexed { index, endpoint ->
            val isExceptional = isLast && index == Scenario.EXCEPTIONAL_ENDPOINT
            val speed = scenario.speeds[index % scenario.speeds.size]
            val count = scenario.entryWeights.size
            SimulatedEndpoint(endpoint, stage, isExceptional, speed, contender.gate, time, count, this)
        }
    }

    private fun newEntry(index: Int): SimulatedEntry {
        val random = Random(plan.seed * ENTRY_SEEDS + index)
        return SimulatedEntry(
            index,
            deployment,
            contender,
            tables,
            endpoints,
            time,
            scenario.reportLag,
            random,
        ) { endpoint, dispatch ->
            val isLastStage = stageIndex(dispatch) == deployment.pools.lastIndex
            meter.dispatched(endpoint, dispatch, isLastStage, time.elapsed)
        }
    }

    private fun scheduleCondition() {
        val condition = scenario.condition ?: return
        time.after(scenario.conditionFrom) {
            if (condition == EndpointCondition.DOWN) {
                exceptional.stop()
                entries.forEach { it.connectionLost(exceptional.endpoint.id) }
            } else {
                exceptional.condition = condition
            }
        }
        if (scenario.conditionUntil.isInfinite()) return
        time.after(scenario.conditionUntil) {
            exceptional.restart()
            entries.forEach { it.incarnationGone(exceptional.endpoint.id) }
        }
    }

    private fun scheduleReports() {
        time.after(REPORT_INTERVAL) {
            for (endpoint in endpoints.values.filter { it.isUp }) {
                endpoint.handle(GateEvent.Tick)
                val load = endpoint.load
                entries.forEach { it.reportLater(endpoint.endpoint.id, load) }
            }
            scheduleReports()
        }
    }

    private fun scheduleArrival() {
        val mean = 1 / (capacity * plan.loadFactor * loadNow())
        val gap = (-ln(1 - arrivals.nextDouble()) * mean * MICROS_PER_SECOND).toLong().microseconds
        if (time.elapsed + gap > Scenario.LENGTH) return
        time.after(gap) {
            arrive()
            scheduleArrival()
        }
    }

    private fun loadNow(): Double = deployment.accountShares.indices.sumOf { weightNow(it) }

    private fun weightNow(account: Int): Double {
        val isBurst = time.elapsed >= scenario.burstFrom && time.elapsed < scenario.burstUntil
        val isFlood = account == Scenario.FLOODING_ACCOUNT && time.elapsed >= scenario.burstFrom
        val burst = if (isBurst) scenario.burstFactor else 1.0
        val flood = if (isFlood) scenario.floodFactor else 1.0
        return deployment.accountShares[account] * burst * flood
    }

    private fun arrive() {
        val account = pick(deployment.accountShares.indices.map { weightNow(it) })
        val entry = entries[pick(scenario.entryWeights)]
        val id = RequestId("r${requestCount++}")
        demands[id] = DoubleArray(deployment.pools.size) { lognormal() }
        meter.arrived(id, account, time.elapsed)
        val deadline = time.now + Deployment.DEADLINE
        entry.start(AdmittedRequest(id, Deployment.account(account), Payload.EMPTY, deadline)) {
            meter.ended(id, it, time.elapsed)
        }
    }

    private fun pick(weights: List<Double>): Int {
        var left = arrivals.nextDouble() * weights.sum()
        weights.forEachIndexed { index, weight ->
            left -= weight
            if (left < 0) return index
        }
        return weights.lastIndex
    }

    /** Returns a sample with mean 1. */
    private fun lognormal(): Double {
        val normal = gaussian.nextGaussian()
        return exp(SPREAD * normal - SPREAD * SPREAD / 2)
    }

    private companion object {
        const val ARRIVAL_SEEDS = 7919
        const val ENTRY_SEEDS = 104_729
        const val MICROS_PER_SECOND = 1_000_000.0

        /** Standard deviation of the logarithm of service times. */
        const val SPREAD = 0.5

        /** How often a sidecar reports its load without being asked. */
        val REPORT_INTERVAL = 500.milliseconds
    }
}

/** What the pools of a plan can do. */
class Capacity(private val plan: RunPlan) {
    /** Requests a second that the slowest pool can answer, with the scenario's lasting condition taken off. */
    val requestsPerSecond: Double = plan.deployment.pools.withIndex().minOf { (stage, pool) ->
        val isLast = stage == plan.deployment.pools.lastIndex
        val speeds = (0 until pool.size).sumOf { speed(it, isLast) }
        speeds * Deployment.CONCURRENCY / pool.serviceTime.toDouble(DurationUnit.SECONDS)
    }

    private fun speed(index: Int, isLast: Boolean): Double {
        val speed = plan.scenario.speeds[index % plan.scenario.speeds.size]
        if (!isLast || index != Scenario.EXCEPTIONAL_ENDPOINT) return speed
        return when (plan.scenario.condition) {
            EndpointCondition.SLOW -> speed / Scenario.STRAGGLER_FACTOR
            EndpointCondition.FAILS_FAST, EndpointCondition.DOWN -> 0.0
            null -> speed
        }
    }
}
