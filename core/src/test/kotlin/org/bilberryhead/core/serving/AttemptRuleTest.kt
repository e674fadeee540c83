package org.bilberryhead.core.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private val notSent = AttemptOutcome.NotSent
private val notRun = AttemptOutcome.NotRun
private val failure = AttemptOutcome.EndpointFailure
private val broken = AttemptOutcome.Broken
private val timedOut = AttemptOutcome.TimedOut

class AttemptRuleTest :
    DescribeSpec({
        fun next(
            rule: RepeatRule,
            outcome: AttemptOutcome,
            attempts: Int = 1,
            mayHaveRun: Boolean = false,
            mayRetry: Boolean = true,
        ) = AttemptRule.next(rule, outcome, AttemptHistory(attempts, mayHaveRun), maximumAttempts = 2) { mayRetry }

        describe("a request that may run at most once") {
            for (rule in listOf(RepeatRule.AT_MOST_ONCE, RepeatRule.STREAM)) {
                it("is sent to another endpoint only when it provably did not run, as $rule") {
                    next(rule, notSent) shouldBe NextStep.TryElsewhere
                    next(rule, notRun) shouldBe NextStep.TryElsewhere
                }

                it("is never sent again after bytes of it may have been sent, as $rule") {
                    next(rule, broken) shouldBe NextStep.ReportUnknown
                    next(rule, timedOut) shouldBe NextStep.ReportUnknown
                    next(rule, failure) shouldBe NextStep.ForwardResponse
                }
            }

            it("is reported as not run when no retry is left and nothing ran") {
                next(RepeatRule.AT_MOST_ONCE, notRun, mayRetry = false) shouldBe NextStep.ReportNotRun
                next(RepeatRule.AT_MOST_ONCE, notSent, attempts = 2) shouldBe NextStep.ReportNotRun
            }
        }

        describe("a request that may be repeated") {
            for (rule in listOf(RepeatRule.IDEMPOTENT, RepeatRule.RESUMABLE_STREAM)) {
                it("is sent to another endpoint after any failure, as $rule") {
                    for (outcome in listOf(notSent, notRun, failure, broken, timedOut)) {
                        next(rule, outcome) shouldBe NextStep.TryElsewhere
                    }
                }

                it("is not sent again when no attempt or no budget is left, as $rule") {
                    next(rule, broken, attempts = 2) shouldBe NextStep.ReportUnknown
                    next(rule, broken, mayRetry = false) shouldBe NextStep.ReportUnknown
                    next(rule, failure, attempts = 2) shouldBe NextStep.ForwardResponse
                    next(rule, notRun, attempts = 2) shouldBe NextStep.ReportNotRun
                }

                it("is not reported as not run when an earlier attempt may have run it, as $rule") {
                    next(rule, notRun, attempts = 2, mayHaveRun = true) shouldBe NextStep.ReportUnknown
                }
            }
        }

        describe("the retry budget") {
            it("is used only when all other conditions allow a retry") {
                var requestedRetries = 0
                val tryTakeRetry = {
                    requestedRetries++
                    true
                }
                AttemptRule.next(RepeatRule.AT_MOST_ONCE, broken, AttemptHistory(1, false), 2, tryTakeRetry)
                AttemptRule.next(RepeatRule.IDEMPOTENT, broken, AttemptHistory(2, false), 2, tryTakeRetry)
                requestedRetries shouldBe 0
            }
        }
    })
