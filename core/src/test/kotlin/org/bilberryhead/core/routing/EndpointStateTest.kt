package org.bilberryhead.core.routing

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.message.LoadReport
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.StressOptions

/** Operations on the counters of one endpoint that threads run concurrently. */
class ConcurrentEndpointState {
    private val state = EndpointState(PoolState(0).apply { size = 4 }, 0)
    private val limits = EjectionLimits(consecutiveFailures = 2)

    @Operation
    fun recordDispatch() = state.recordDispatch(nowMillis = 1)

    @Operation
    fun recordAbandoned() = state.recordEnd(AttemptResult.ABANDONED, limits, nowMillis = 1)

    @Operation
    fun inFlight() = state.inFlight
}

/** Dispatches to an endpoint after a long idle time, concurrent with predictions of its service time of 100 ms. */
class ConcurrentPrediction {
    private val state = EndpointState(PoolState(0), 0)
        .apply { recordLoad(LoadReport(0, 0, 4, serviceMillis = 100.0), EjectionLimits(), nowMillis = 0) }

    @Operation
    fun recordDispatch() = state.recordDispatch(nowMillis = 10_000)

    @Operation
    fun isPredictedSlow() = state.serviceMillis(nowMillis = 10_000) > 200
}

/** Operations on the number of ejected endpoints that threads run concurrently. */
class ConcurrentEjections {
    private val pool = PoolState(0).apply { size = 6 }

    @Operation
    fun eject() = pool.tryCountEjection(maximumEjectedShare = 0.34)

    @Operation
    fun reinstate() = pool.countReinstatement()

    @Operation
    fun hasEjected() = pool.hasEjected
}

class EndpointStateTest :
    DescribeSpec({
        val limits = EjectionLimits()

        fun load(failures: Int) = LoadReport(0, 0, 4, serviceMillis = 100.0, failures)

        describe("the state of an endpoint") {
            it("counts attempts linearizably") {
                StressOptions().iterations(20).invocationsPerIteration(500).check(ConcurrentEndpointState::class)
            }

            it("never counts idle time as lack of progress") {
                StressOptions().iterations(20).invocationsPerIteration(2_000).check(ConcurrentPrediction::class)
            }

            it("counts ejections linearizably") {
                StressOptions().iterations(20).invocationsPerIteration(500).check(ConcurrentEjections::class)
            }

            it("is ejected after three failures without a response in between") {
                val state = EndpointState(PoolState(0).apply { size = 4 }, 0)
                repeat(2) { state.recordEnd(AttemptResult.FAILED, limits, nowMillis = 10) }
                state.recordEnd(AttemptResult.ANSWERED, limits, nowMillis = 10)
                repeat(2) { state.recordEnd(AttemptResult.FAILED, limits, nowMillis = 10) }
                val wasEjected = state.isEjected
                state.recordEnd(AttemptResult.FAILED, limits, nowMillis = 10)
                wasEjected shouldBe false
                state.isEjected shouldBe true
            }

            it("allows one probe when the ejection time is over, and is reinstated when the probe succeeds") {
                val state = EndpointState(PoolState(0).apply { size = 4 }, 0)
                repeat(3) { state.recordEnd(AttemptResult.FAILED, limits, nowMillis = 0) }
                state.tryProbe(mayRepeat = true, limits, nowMillis = 1_999) shouldBe false
                state.tryProbe(mayRepeat = true, limits, nowMillis = 2_000) shouldBe true
                state.tryProbe(mayRepeat = true, limits, nowMillis = 2_000) shouldBe false
                state.recordEnd(AttemptResult.ANSWERED, limits, nowMillis = 2_100)
                state.isEjected shouldBe false
            }

            it("stays ejected for longer when a probe of another process fails, and is reinstated when one succeeds") {
                val state = EndpointState(PoolState(0).apply { size = 4 }, 0)
                state.recordLoad(load(failures = 3), limits, nowMillis = 0)
                state.isEjected shouldBe true
                state.recordLoad(load(failures = 4), limits, nowMillis = 2_000)
                state.tryProbe(mayRepeat = true, limits, nowMillis = 5_999) shouldBe false
                state.recordLoad(load(failures = 0), limits, nowMillis = 5_999)
                state.isEjected shouldBe false
            }

            it("does not extend the ejection when attempts that started before it fail") {
                val state = EndpointState(PoolState(0).apply { size = 4 }, 0)
                state.recordLoad(load(failures = 3), limits, nowMillis = 0)
                state.recordLoad(load(failures = 9), limits, nowMillis = 500)
                state.tryProbe(mayRepeat = true, limits, nowMillis = 2_000) shouldBe true
            }

            it("is reset when its sidecar restarts") {
                val state = EndpointState(PoolState(0).apply { size = 4 }, 0)
                state.resetOnRestart(Incarnation("first"), nowMillis = 0)
                repeat(3) { state.recordEnd(AttemptResult.FAILED, limits, nowMillis = 0) }
                state.resetOnRestart(Incarnation("first"), nowMillis = 10)
                state.isEjected shouldBe true
                state.resetOnRestart(Incarnation("second"), nowMillis = 10)
                state.isEjected shouldBe false
            }

            it("counts as slow for a time in proportion to its service time") {
                val state = EndpointState(PoolState(0).apply { recordService(100.0) }, 0)
                state.recordLoad(LoadReport(0, 0, 4, serviceMillis = 4_000.0), limits, nowMillis = 0)
                state.serviceMillis(nowMillis = 10_000) shouldBeGreaterThan 3_000.0
                state.serviceMillis(nowMillis = 100_000) shouldBeLessThan 500.0
            }

            it("counts as slow when its attempts make no progress") {
                val state = EndpointState(PoolState(0), 0)
                state.recordDispatch(nowMillis = 0)
                state.recordLoad(LoadReport(0, 1, 4, serviceMillis = 100.0), limits, nowMillis = 0)
                state.serviceMillis(nowMillis = 1_000) shouldBeGreaterThan 999.0
            }
        }
    })
