package org.bilberryhead.core.serving

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import org.bilberryhead.core.common.PoolName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val START = Instant.fromEpochSeconds(1_000)
private val DRAIN = 12.seconds

private fun routeOf(rule: RepeatRule, timeout: Duration = 30.seconds, objective: Duration = 1.seconds) = ServingRoute(
    name = "r",
    host = "h",
    prefix = "/",
    pools = listOf(WeightedPool(PoolName("p"), 1.0)),
    repeatRule = rule,
    timeout = timeout,
    objective = objective,
    maximumAttempts = 2,
    priority = 0,
)

private val RUN_ONCE = listOf(RepeatRule.AT_MOST_ONCE, RepeatRule.STREAM)

class DrainAdmissionTest :
    DescribeSpec({
        val admission = DrainAdmission(START, endsAt = START + DRAIN)

        fun maySend(
            rule: RepeatRule,
            elapsed: Duration,
            deadline: Duration,
            hasBegun: Boolean = false,
            objective: Duration = 1.seconds,
        ) = admission.maySend(routeOf(rule, objective = objective), START + deadline, hasBegun, START + elapsed)

        describe("a request whose longest time ends before the drain does") {
            it("may be sent at any time, whatever its route") {
                for (rule in RepeatRule.entries) {
                    withClue(rule) {
                        maySend(rule, elapsed = 0.seconds, deadline = 11.9.seconds) shouldBe true
                        maySend(rule, elapsed = 11.seconds, deadline = 11.9.seconds) shouldBe true
                    }
                }
            }
        }

        describe("a request that may run only once and whose longest time does not end before the drain does") {
            it("is never sent, however short it usually is, because the end of the drain would cut it") {
                for (rule in RUN_ONCE) {
                    withClue(rule) {
                        maySend(rule, 0.seconds, deadline = 12.seconds, objective = 1.milliseconds) shouldBe false
                    }
                }
            }
        }

        describe("a request that may be repeated and whose longest time does not end before the drain does") {
            it("may be sent in the first part of the drain when its usual time ends in time") {
                maySend(RepeatRule.IDEMPOTENT, 3.9.seconds, deadline = 30.seconds) shouldBe true
                maySend(RepeatRule.RESUMABLE_STREAM, 3.9.seconds, deadline = 30.seconds) shouldBe true
            }

            it("is not sent after a third of the drain") {
                maySend(RepeatRule.IDEMPOTENT, 4.seconds, deadline = 30.seconds) shouldBe false
                maySend(RepeatRule.RESUMABLE_STREAM, 4.seconds, deadline = 30.seconds) shouldBe false
            }

            it("is not sent when it usually takes longer than the drain still does") {
                maySend(RepeatRule.IDEMPOTENT, 0.seconds, 30.seconds, objective = 4.seconds) shouldBe false
                DrainAdmission(START, START + 4.seconds).maySend(
                    routeOf(RepeatRule.RESUMABLE_STREAM),
                    deadline = START + 30.seconds,
                    hasBegun = false,
                    now = START,
                ) shouldBe false
            }
        }

        describe("a response that has begun") {
            it("may be continued by another endpoint at any time, as it is cut otherwise") {
                maySend(RepeatRule.RESUMABLE_STREAM, 11.seconds, deadline = 30.seconds, hasBegun = true) shouldBe true
            }
        }

        describe("any request that has not begun") {
            it("ends before the drain does if it is sent, unless it may be repeated and the drain has just started") {
                checkAll(Arb.enum<RepeatRule>(), Arb.int(0..12_000), Arb.int(0..40_000), Arb.int(0..10_000)) {
                        rule,
                        elapsed,
                        remaining,
                        objective,
                    ->
                    val deadline = (elapsed + remaining).milliseconds
                    val isSent =
                        maySend(rule, elapsed.milliseconds, deadline, objective = objective.milliseconds)
                    if (isSent && (rule in RUN_ONCE || elapsed.milliseconds >= DRAIN / 3)) {
                        (deadline < DRAIN) shouldBe true
                    }
                }
            }
        }
    })
