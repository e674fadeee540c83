package org.bilberryhead.core.testing

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration.Companion.milliseconds

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
    })
