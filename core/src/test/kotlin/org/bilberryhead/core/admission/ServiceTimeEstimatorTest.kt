package org.bilberryhead.core.admission

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

class ServiceTimeEstimatorTest :
    DescribeSpec({
        describe("the estimated service time of an endpoint") {
            it("increases with a cancelled attempt that ran longer") {
                val estimator = ServiceTimeEstimator()
                estimator.record(100.0)
                estimator.recordAtLeast(2_000.0)
                estimator.meanMillis shouldBeGreaterThan 200.0
            }

            it("does not decrease with a cancelled attempt that ran shorter") {
                val estimator = ServiceTimeEstimator()
                estimator.record(100.0)
                estimator.recordAtLeast(50.0)
                estimator.meanMillis shouldBe 100.0
            }
        }
    })
