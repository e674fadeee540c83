package org.bilberryhead.soak

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize

class JudgeTest :
    DescribeSpec({
        fun judge(play: Judge.() -> Unit): List<String> = Judge().apply {
            play()
            close()
        }.violations

        describe("an order") {
            it("may run once, and its caller may be told anything but that it has not run") {
                for (status in listOf(200, 500, 502, 504, null)) {
                    judge {
                        sent(RequestKind.ORDER, "a")
                        ran("a")
                        ended(RequestKind.ORDER, "a", status)
                    }.shouldBeEmpty()
                }
            }

            it("must not run twice") {
                judge {
                    sent(RequestKind.ORDER, "a")
                    ran("a")
                    ran("a")
                } shouldHaveSize 1
            }

            it("must not run when its caller was told that it had not, also later") {
                judge {
                    sent(RequestKind.ORDER, "a")
                    ended(RequestKind.ORDER, "a", 503)
                    ran("a")
                } shouldHaveSize 1
            }
        }

        describe("a lookup") {
            it("may run any number of times") {
                judge {
                    sent(RequestKind.LOOKUP, "a")
                    repeat(3) { ran("a") }
                    ended(RequestKind.LOOKUP, "a", 503)
                }.shouldBeEmpty()
            }
        }
    })
