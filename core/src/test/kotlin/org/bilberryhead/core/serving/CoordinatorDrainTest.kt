package org.bilberryhead.core.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

class CoordinatorDrainTest :
    DescribeSpec({
        val end = Instant.fromEpochSeconds(1_000)
        val drain = CoordinatorDrain(end)

        describe("a piece of another entry at a coordinator that drains") {
            it("is handed over before its call, at any time, as its sender can be sure that it has not started") {
                drain.actionFor(isCalled = false, end - 1.milliseconds) shouldBe DrainingPieceAction.HAND_OVER
                drain.actionFor(isCalled = false, end) shouldBe DrainingPieceAction.HAND_OVER
            }

            it("is awaited while its call lasts, and never handed over") {
                drain.actionFor(isCalled = true, end - 1.milliseconds) shouldBe DrainingPieceAction.AWAIT
            }

            it("is reported at the end of the drain, so that its sender does not wait for a process that is gone") {
                drain.actionFor(isCalled = true, end) shouldBe DrainingPieceAction.REPORT_FAILED
            }
        }
    })
