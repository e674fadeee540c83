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
 * Parameters of one run. The same plan always gives the same result.
 *
 * @property loadFactor offered load, as a share of the capacity of the pools
 */
data class RunPlan(val deployment: Deployment, val scenario: Scenario, val loadFactor: Double, val seed: Int)

/** Simulates a deployment with the policies of core in virtual time: queues, speeds and latency, but no network. */
class PolicyRun(private val plan: RunPlan, private val contender: Contender) : EndpointEnvironment {
    private val deployment = plan.deployment
    private val scenario = plan.scenario
    private val tables: Tables = deployment.tables(contender.objective ?: deployment.objective)
    private val time = VirtualTime()
    private val endpoints: Map<EndpointId, SimulatedEndpoint> = newEndpoints().associateBy { it.endpoint.id }
    private val exceptional = endpoints.values.single { it.isExceptional }
    private val meter = RunMeter(scenario, exceptional.endpoint.id, deployment.pools.size)
    private val entries = scenario.entryWeights.indices.map { newEntry(it) }
    private val arrivalRandom = Random(plan.seed * ARRIVAL_SEED_FACTOR)
    private val gaussianRandom = arrivalRandom.asJavaRandom()
    private val serviceTimeFactors = HashMap<RequestId, DoubleArray>()
    private val capacity = Capacity(plan).requestsPerSecond
    private var requestCount = 0

    /** Runs the simulation to its end and returns the result. */
    fun run(): RunResult {
        endpoints.values.forEach { it.start() }
        scheduleCondition()
        scheduleReports()
        scheduleArrival()
        time.runUntil(Scenario.ARRIVALS_DURATION + Deployment.DEADLINE + 1.seconds)
        return meter.result(capacity)
    }

    override fun send(endpoint: SimulatedEndpoint, entry: Int, message: Message) {
        val target = entries[entry]
        val incarnation = endpoint.incarnation
        time.after(target.latency(endpoint)) {
            if (endpoint.isUp && endpoint.incarnation == incarnation) target.receive(endpoint.endpoint.id, message)
        }
    }

    override fun serviceTime(dispatch: Dispatch): Duration {
        val stage = stageIndex(dispatch)
        return deployment.pools[stage].serviceTime * serviceTimeFactors.getValue(dispatch.request)[stage]
    }

    override fun recordWork(endpoint: SimulatedEndpoint, dispatch: Dispatch, duration: Duration) =
        meter.recordWork(dispatch.request, endpoint.stageIndex, duration)

    private fun stageIndex(dispatch: Dispatch) = deployment.pools.indexOfFirst { it.stage == dispatch.stage.value }

    private fun newEndpoints(): List<SimulatedEndpoint> = deployment.pools.flatMapIndexed { stage, plan ->
        val isLast = stage == deployment.pools.lastIndex
        tables.pools.values.single { it.name.value == plan.name }.endpoints.mapIndexed { index, endpoint ->
            val isExceptional = isLast && index == Scenario.EXCEPTIONAL_ENDPOINT
            val speed = scenario.speeds[index % scenario.speeds.size]
            val entryCount = scenario.entryWeights.size
            SimulatedEndpoint(endpoint, stage, isExceptional, speed, contender.gate, time, entryCount, this)
        }
    }

    private fun newEntry(index: Int): SimulatedEntry {
        val random = Random(plan.seed * ENTRY_SEED_FACTOR + index)
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
            meter.recordAttempt(endpoint, dispatch, isLastStage, time.elapsed)
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
            entries.forEach { it.incarnationReplaced(exceptional.endpoint.id) }
        }
    }

    private fun scheduleReports() {
        time.after(REPORT_INTERVAL) {
            for (endpoint in endpoints.values.filter { it.isUp }) {
                endpoint.handle(GateEvent.Tick)
                val load = endpoint.load
                entries.forEach { it.recordLoadAfterLag(endpoint.endpoint.id, load) }
            }
            scheduleReports()
        }
    }

    private fun scheduleArrival() {
        val mean = 1 / (capacity * plan.loadFactor * currentWeightSum())
        val gap = (-ln(1 - arrivalRandom.nextDouble()) * mean * MICROS_PER_SECOND).toLong().microseconds
        if (time.elapsed + gap > Scenario.ARRIVALS_DURATION) return
        time.after(gap) {
            startRequest()
            scheduleArrival()
        }
    }

    private fun currentWeightSum(): Double = deployment.accountShares.indices.sumOf { currentWeight(it) }

    private fun currentWeight(account: Int): Double {
        val isBurst = time.elapsed >= scenario.burstFrom && time.elapsed < scenario.burstUntil
        val isFlood = account == Scenario.FLOODING_ACCOUNT && time.elapsed >= scenario.burstFrom
        val burst = if (isBurst) scenario.burstFactor else 1.0
        val flood = if (isFlood) scenario.floodFactor else 1.0
        return deployment.accountShares[account] * burst * flood
    }

    private fun startRequest() {
        val account = pick(deployment.accountShares.indices.map { currentWeight(it) })
        val entry = entries[pick(scenario.entryWeights)]
        val id = RequestId("r${requestCount++}")
        serviceTimeFactors[id] = DoubleArray(deployment.pools.size) { sampleLogNormal() }
        meter.recordArrival(id, account, time.elapsed)
        val deadline = time.now + Deployment.DEADLINE
        entry.start(AdmittedRequest(id, Deployment.account(account), Payload.EMPTY, deadline)) {
            meter.recordOutcome(id, it, time.elapsed)
        }
    }

    private fun pick(weights: List<Double>): Int {
        var remaining = arrivalRandom.nextDouble() * weights.sum()
        weights.forEachIndexed { index, weight ->
            remaining -= weight
            if (remaining < 0) return index
        }
        return weights.lastIndex
    }

    /** Returns a sample of a log-normal distribution with mean 1. */
    private fun sampleLogNormal(): Double {
        val normal = gaussianRandom.nextGaussian()
        return exp(SERVICE_TIME_SIGMA * normal - SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2)
    }

    private companion object {
        const val ARRIVAL_SEED_FACTOR = 7919
        const val ENTRY_SEED_FACTOR = 104_729
        const val MICROS_PER_SECOND = 1_000_000.0

        /** Standard deviation of the logarithm of service times. */
        const val SERVICE_TIME_SIGMA = 0.5

        /** Interval of the periodic load reports of a sidecar. */
        val REPORT_INTERVAL = 500.milliseconds
    }
}

/** Capacity of the pools of a plan. */
class Capacity(private val plan: RunPlan) {
    /** Requests per second of the slowest pool, without the capacity that the scenario's condition removes. */
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
