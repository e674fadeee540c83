package org.bilberryhead.entry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.bilberryhead.daemon.MonotonicClock

class WarmUpTest :
    DescribeSpec({
        describe("the warm-up of an entry") {
            it("has every request of it answered, so that it goes the way of a real one") {
                WarmUp(MonotonicClock()).run() shouldBe 32
            }
        }
    })
