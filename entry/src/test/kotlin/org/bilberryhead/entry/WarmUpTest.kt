package org.bilberryhead.entry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.bilberryhead.daemon.MonotonicClock

class WarmUpTest :
    DescribeSpec({
        describe("the warm-up of an entry") {
            it("gets a successful response to every request, so that it covers the code of real requests") {
                WarmUp(MonotonicClock()).run() shouldBe 32
            }
        }
    })
