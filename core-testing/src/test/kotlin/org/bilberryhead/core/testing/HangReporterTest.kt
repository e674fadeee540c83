package org.bilberryhead.core.testing

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.engine.test.TestResult
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class HangReporterTest :
    DescribeSpec({
        describe("a test that blocks its thread") {
            it("is interrupted shortly before its timeout") {
                shouldThrow<InterruptedException> {
                    HangReporter(defaultTimeout = 100.milliseconds, margin = 50.milliseconds).intercept(testCase) {
                        CountDownLatch(1).await()
                        error("the test was not interrupted")
                    }
                }
            }
        }

        describe("a test that waits for ever without blocking its thread") {
            it("fails at its timeout") {
                // The report before the timeout would interrupt this test as well.
                val reporter = HangReporter(defaultTimeout = 100.milliseconds, margin = (-10).seconds)
                reporter.intercept(testCase) { awaitCancellation() }.isError shouldBe true
            }
        }

        describe("a group of tests") {
            it("may take longer than the timeout of one test") {
                val group = checkNotNull(testCase.parent)
                HangReporter(defaultTimeout = 1.milliseconds, margin = 0.milliseconds).intercept(group) {
                    delay(20.milliseconds)
                    TestResult.Ignored
                }.isIgnored shouldBe true
            }
        }
    })
