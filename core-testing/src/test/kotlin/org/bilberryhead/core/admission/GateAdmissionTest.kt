package org.bilberryhead.core.admission

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.message.RefusalReason
import org.bilberryhead.core.testing.TestClock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class GateAdmissionTest :
    DescribeSpec({
        describe("admission at a sidecar") {
            it("refuses an attempt that would wait past its deadline") {
                val admission = GateAdmission()
                repeat(50) { admission.recordService(100.0) }
                val busy = GateOccupancy(ahead = 40, running = 4, queued = 40, capacity = 64, concurrency = 4)
                admission.refusalFor(0, 500.milliseconds, busy) shouldBe RefusalReason.DEADLINE_UNREACHABLE
                admission.refusalFor(0, 4.seconds, busy) shouldBe null
            }

            it("accepts attempts again after a few refusals when a slow endpoint is idle") {
                val admission = GateAdmission()
                repeat(50) { admission.recordService(10_000.0) }
                val idle = GateOccupancy(ahead = 0, running = 0, queued = 0, capacity = 64, concurrency = 4)
                val refused = (1..100).takeWhile { admission.refusalFor(0, 4.seconds, idle) != null }
                refused.size shouldBeInRange 1..20
            }

            it("reduces the concurrency by at most half while the endpoint is far slower than its best service time") {
                val admission = GateAdmission()
                repeat(50) { admission.recordService(100.0) }
                repeat(50) { admission.recordService(1_000.0) }
                admission.concurrency(8) shouldBe 4
            }
        }

        describe("fair shares") {
            it("reports only the flooding account as over its share") {
                val clock = TestClock()
                val shares = FairShares()
                val flooding = ClientAccount("flooding")
                val others = List(4) { ClientAccount("other-$it") }
                repeat(600) { step ->
                    clock.advance(10.milliseconds)
                    repeat(4) { shares.recordDemand(flooding, clock.now()) }
                    shares.recordDemand(others[step % 4], clock.now())
                    if (step % 2 == 0) repeat(4) { shares.recordServed(clock.now()) }
                }
                shares.isOverShare(flooding, clock.now()) shouldBe true
                others.map { shares.isOverShare(it, clock.now()) }.distinct() shouldBe listOf(false)
            }
        }
    })
