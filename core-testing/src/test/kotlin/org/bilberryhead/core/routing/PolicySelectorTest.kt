package org.bilberryhead.core.routing

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.message.LoadReport
import org.bilberryhead.core.tables.Objective
import org.bilberryhead.core.testing.TestClock
import org.bilberryhead.core.testing.testPool
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PolicySelectorTest :
    DescribeSpec({
        val pool = testPool(size = 4)
        val clock = TestClock()

        fun selector(policy: ChoicePolicy = ChoicePolicy.PredictedCompletion()) = PolicySelector(
            { requested -> requested.endpoints.map { Candidate(it.id, Incarnation("run"), it.dataCentre) } },
            DataCentre("nashua"),
            Random(1),
            policy,
        )

        fun request(
            remaining: Duration = 4.seconds,
            excludedEndpoints: Set<EndpointId> = emptySet(),
            prefixHash: Int = 0,
            mayRepeat: Boolean = true,
        ) = SelectionRequest(
            RequestId("r"),
            pool,
            remaining,
            Objective.ATTAINMENT,
            excludedEndpoints,
            prefixHash,
            mayRepeat,
        )

        fun PolicySelector.chosen(request: SelectionRequest = request()) =
            choose(request, clock.now()).shouldBeInstanceOf<Selection.Chosen>().candidate.endpoint

        fun PolicySelector.report(index: Int, load: LoadReport) {
            // The selector ignores load reports of an endpoint that it has not considered in a choice yet.
            choose(request(), clock.now())
            repeat(16) { choose(request(), clock.now()) }
            recordLoad(pool.endpoints[index].id, load, clock.now())
        }

        describe("choice by predicted completion") {
            it("tries an endpoint again after only slow calls, although the others have no queue") {
                val selector = selector()
                val slow = pool.endpoints.first().id
                pool.endpoints.indices.forEach { selector.report(it, LoadReport(0, 0, 4, if (it == 0) 70.0 else 35.0)) }
                val chosen = List(600) { step ->
                    val endpoint = selector.chosen()
                    // The other endpoints get faster as they warm up, and the mean of the pool follows with a delay.
                    val millis = 35.0 - step * 0.01
                    selector.recordDispatch(endpoint, clock.now())
                    clock.advance(100.milliseconds)
                    selector.recordEnd(endpoint, AttemptResult.ANSWERED, millis.milliseconds, clock.now())
                    if (endpoint != slow) selector.recordLoad(endpoint, LoadReport(0, 0, 4, millis), clock.now())
                    endpoint
                }
                chosen.contains(slow) shouldBe true
            }

            it("prefers the endpoint with the shortest service time") {
                val selector = selector()
                listOf(800.0, 400.0, 200.0, 800.0).forEachIndexed { index, millis ->
                    selector.report(index, LoadReport(0, 0, 4, millis))
                }
                selector.chosen() shouldBe pool.endpoints[2].id
            }

            it("avoids an endpoint whose queue is long") {
                val selector = selector()
                listOf(40, 0, 40, 40).forEachIndexed { index, queued ->
                    selector.report(index, LoadReport(queued, 4, 4, 100.0))
                }
                selector.chosen() shouldBe pool.endpoints[1].id
            }

            it("refuses with a retry time when no endpoint can answer in time") {
                val selector = selector()
                repeat(4) { selector.report(it, LoadReport(100, 4, 4, 100.0)) }
                val refused = selector.choose(request(remaining = 500.milliseconds), clock.now())
                (refused.shouldBeInstanceOf<Selection.NoneAvailable>().retryAfter!! > 1.seconds) shouldBe true
            }

            it("sends a failing endpoint no work except probes") {
                val selector = selector()
                val failing = pool.endpoints[0].id
                repeat(4) { selector.report(it, LoadReport(0, 0, 4, 100.0)) }
                repeat(3) { selector.recordEnd(failing, AttemptResult.FAILED, 1.milliseconds, clock.now()) }
                List(100) { selector.chosen() }.count { it == failing } shouldBeLessThan 1
            }

            for ((result, longest) in mapOf(AttemptResult.REFUSED to 5.seconds, AttemptResult.FAILED to 40.seconds)) {
                it("probes an endpoint with work that cannot be repeated, $longest after it was $result") {
                    val selector = selector()
                    val ejected = pool.endpoints[0].id
                    repeat(4) { selector.report(it, LoadReport(0, 0, 4, 100.0)) }
                    repeat(3) { selector.recordEnd(ejected, result, 1.milliseconds, clock.now()) }
                    val order = request(mayRepeat = false)
                    List(100) { selector.chosen(order) }.count { it == ejected } shouldBe 0
                    clock.advance(longest)
                    List(100) { selector.chosen(order) }.count { it == ejected } shouldBe 1
                    selector.recordEnd(ejected, AttemptResult.ANSWERED, 100.milliseconds, clock.now())
                    (1..3).forEach { selector.report(it, LoadReport(40, 4, 4, 100.0)) }
                    selector.chosen(order) shouldBe ejected
                }
            }

            it("does not probe an endpoint that has failed with work that cannot be repeated soon afterwards") {
                val selector = selector()
                val ejected = pool.endpoints[0].id
                repeat(4) { selector.report(it, LoadReport(0, 0, 4, 100.0)) }
                repeat(3) { selector.recordEnd(ejected, AttemptResult.FAILED, 1.milliseconds, clock.now()) }
                clock.advance(10.seconds)
                List(100) { selector.chosen(request(mayRepeat = false)) }.count { it == ejected } shouldBe 0
            }

            it("does not retry work on a failing endpoint when all others refused it") {
                val selector = selector()
                val failing = pool.endpoints[0].id
                val others = pool.endpoints.drop(1).map { it.id }.toSet()
                repeat(4) { selector.report(it, LoadReport(0, 0, 4, 100.0)) }
                repeat(3) { selector.recordEnd(failing, AttemptResult.FAILED, 1.milliseconds, clock.now()) }
                selector.choose(request(excludedEndpoints = others), clock.now())
                    .shouldBeInstanceOf<Selection.NoneAvailable>()
            }

            it("sends requests with the same prefix to the same endpoint while it is not much slower") {
                val selector = selector()
                repeat(4) { selector.report(it, LoadReport(0, 0, 4, 100.0)) }
                List(20) { selector.chosen(request(prefixHash = 77)) }.distinct().size shouldBe 1
            }
        }

        describe("every policy") {
            it("excludes endpoints that the stage has tried") {
                val policies = listOf(
                    ChoicePolicy.Random,
                    ChoicePolicy.RoundRobin,
                    ChoicePolicy.LeastInFlight,
                    ChoicePolicy.TwoChoices,
                    ChoicePolicy.PredictedCompletion(),
                )
                val tried = pool.endpoints.take(3).map { it.id }.toSet()
                for (policy in policies) {
                    selector(policy).chosen(request(excludedEndpoints = tried)) shouldBe pool.endpoints[3].id
                }
            }
        }
    })
