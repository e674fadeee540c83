package org.bilberryhead.load.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Relative speeds of endpoints on hardware of different generations. */
private val MIXED_SPEEDS = listOf(1.0, 2.0, 4.0)

/** Fault of one endpoint of the last pool during a part of a run. */
enum class EndpointCondition { SLOW, FAILS_FAST, DOWN }

/**
 * Load and faults over the time of a run.
 *
 * @property speeds relative speeds of the endpoints of each pool, in turn
 * @property condition fault of the endpoint [EXCEPTIONAL_ENDPOINT] from [conditionFrom] until
 * [conditionUntil]
 * @property burstFactor factor on the load from [burstFrom] until [burstUntil]
 * @property floodFactor factor on the load of the account [FLOODING_ACCOUNT] from [burstFrom] to the end of the run
 * @property reportLag delay of load reports
 * @property entryWeights relative share of the requests that each entry receives
 */
enum class Scenario(
    val title: String,
    val speeds: List<Double> = MIXED_SPEEDS,
    val condition: EndpointCondition? = null,
    val conditionFrom: Duration = Duration.ZERO,
    val conditionUntil: Duration = Duration.INFINITE,
    val burstFactor: Double = 1.0,
    val burstFrom: Duration = 10.seconds,
    val burstUntil: Duration = 15.seconds,
    val floodFactor: Double = 1.0,
    val reportLag: Duration = Duration.ZERO,
    val entryWeights: List<Double> = listOf(1.0, 1.0, 1.0, 1.0),
) {
    SPEEDS("speeds 1:2:4"),
    STRAGGLER("one straggler at 10x", condition = EndpointCondition.SLOW),
    FAILING_FAST("one endpoint fails fast", condition = EndpointCondition.FAILS_FAST, conditionFrom = 6.seconds),
    DOWN_AND_BACK(
        "an endpoint fails and returns",
        condition = EndpointCondition.DOWN,
        conditionFrom = 10.seconds,
        conditionUntil = 18.seconds,
    ),
    BURST("burst of 5x for 5 s", burstFactor = 5.0),
    FLOOD("one account floods at 10x", floodFactor = 10.0),
    LATE_REPORTS("load reports lag 2 s", reportLag = 2.seconds),
    UNEQUAL_ENTRIES("entries of unequal size", entryWeights = listOf(1.0, 2.0, 4.0, 8.0)),
    ;

    companion object {
        /** Index of the endpoint of the last pool that the condition applies to; it has the middle speed. */
        const val EXCEPTIONAL_ENDPOINT = 1

        /** Index of the account that floods. */
        const val FLOODING_ACCOUNT = 1

        /** Factor by which the service time of the straggler is multiplied. */
        const val STRAGGLER_FACTOR = 10.0

        /** Period from the start of a run in which requests arrive. */
        val ARRIVALS_DURATION: Duration = 25.seconds

        /** Requests that arrive before this time are not counted. */
        val WARM_UP: Duration = 4.seconds

        /** Time after which an endpoint that fails fast responds with a failure. */
        val FAILURE_TIME: Duration = 2.milliseconds
    }
}
