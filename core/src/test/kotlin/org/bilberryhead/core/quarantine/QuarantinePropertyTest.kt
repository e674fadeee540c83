package org.bilberryhead.core.quarantine

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.property.Arb
import io.kotest.property.arbitrary.arbitrary
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.constant
import io.kotest.property.arbitrary.double
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Time in which entries that reach each other and the store learn what the others know. */
private val CONTACT_TIME = 3.seconds
private val PLAYED_TIME = 40.seconds

/** Requests with the bad part that may reach engines later than [CONTACT_TIME] after the fifth crash. */
private const val MAXIMUM_LATE_BAD_REQUESTS = 3
private const val RUNS = 60

private fun traffic(badShares: Arb<Double>) = arbitrary {
    SimulatedTraffic(
        badShare = badShares.bind(),
        hasCommonPart = Arb.boolean().bind(),
        connectionEndShare = Arb.double(0.0, 1.0).bind(),
        otherCrashInterval = Arb.int(2_000, 8_000).bind().milliseconds,
    )
}

/** Returns the share of the sound requests sent after [time] whose first attempt was answered. */
private fun QuarantineSimulation.begunAfter(time: Instant): Double {
    val sent = sentSoundRequests.filter { it.at > time && it.at < SIMULATION_START + PLAYED_TIME }
    return sent.count { it.hasBegun }.toDouble() / sent.size
}

private fun played(seed: Int, traffic: SimulatedTraffic) =
    QuarantineSimulation(seed, traffic = traffic).apply { play(PLAYED_TIME) }

class QuarantinePropertyTest :
    DescribeSpec({
        describe("any traffic, with responses in any framing") {
            it("keeps at least half of the sound requests while a part crashes endpoints, and stops that part") {
                checkAll(RUNS, Arb.int(), traffic(badShares = Arb.double(0.01, 0.2))) { seed, traffic ->
                    val simulation = played(seed, traffic)
                    val fifthCrashAt = simulation.fifthCrashAt
                    val late = simulation.badRequests.count { fifthCrashAt != null && it > fifthCrashAt + CONTACT_TIME }
                    withClue("late requests with the bad part, fifth crash at $fifthCrashAt") {
                        late shouldBeLessThanOrEqual MAXIMUM_LATE_BAD_REQUESTS
                    }
                    val from = fifthCrashAt ?: SIMULATION_START
                    simulation.begunAfter(from + CONTACT_TIME * 2) shouldBeGreaterThanOrEqual 0.5
                }
            }

            it("keeps at least half of the sound requests while endpoints crash for other reasons only") {
                checkAll(RUNS, Arb.int(), traffic(badShares = Arb.constant(0.0))) { seed, traffic ->
                    played(seed, traffic).begunAfter(SIMULATION_START) shouldBeGreaterThanOrEqual 0.5
                }
            }
        }
    })
