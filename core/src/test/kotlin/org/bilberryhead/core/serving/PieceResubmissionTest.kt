package org.bilberryhead.core.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.PoolName
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class PieceResubmissionTest :
    DescribeSpec({
        val now = Instant.fromEpochSeconds(1_000)
        val pool = PoolName("s")

        /** Two retries are available: 2.3 reduced by the safety factor of the budget. */
        fun resubmission() = PieceResubmission(pool, SharedRetryBudget(RetryLimits(ratio = 0.0, slack = 2.3)) { 1 })

        describe("pieces whose coordinator is silent") {
            it("take one retry each, and wait when the budget does not hold one for all of them") {
                val resubmission = resubmission()
                resubmission.afterSilence(pieces = 3, now + 5.seconds, now) shouldBe ResubmissionDecision.WAIT
                resubmission.afterSilence(pieces = 2, now + 5.seconds, now) shouldBe ResubmissionDecision.RESUBMIT
                resubmission.afterSilence(pieces = 1, now + 5.seconds, now) shouldBe ResubmissionDecision.WAIT
            }

            it("are submitted again after a wait as soon as the budget holds retries again") {
                val resubmission = resubmission()
                resubmission.afterSilence(pieces = 2, now + 20.seconds, now) shouldBe ResubmissionDecision.RESUBMIT
                resubmission.afterSilence(pieces = 2, now + 20.seconds, now + 9.seconds) shouldBe
                    ResubmissionDecision.WAIT
                resubmission.afterSilence(pieces = 2, now + 20.seconds, now + 10.seconds) shouldBe
                    ResubmissionDecision.RESUBMIT
            }

            it("fail without a retry once their outcomes are of no use") {
                val resubmission = resubmission()
                resubmission.afterSilence(pieces = 2, now, now) shouldBe ResubmissionDecision.FAIL
                resubmission.afterSilence(pieces = 2, now + 5.seconds, now) shouldBe ResubmissionDecision.RESUBMIT
            }
        }

        describe("pieces whose coordinator is lost") {
            it("take no retry when it cannot have sent them") {
                val resubmission = resubmission()
                resubmission.afterLoss(pieces = 9, mayHaveStarted = false, now) shouldBe ResubmissionDecision.RESUBMIT
                resubmission.afterLoss(pieces = 2, mayHaveStarted = true, now) shouldBe ResubmissionDecision.RESUBMIT
            }

            it("fail when it may have sent them and the budget holds no retry") {
                resubmission().afterLoss(pieces = 3, mayHaveStarted = true, now) shouldBe ResubmissionDecision.FAIL
            }
        }
    })
