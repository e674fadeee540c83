package org.bilberryhead.soak

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize

class InvariantCheckerTest :
    DescribeSpec({
        fun violationsOf(events: InvariantChecker.() -> Unit): List<String> = InvariantChecker().apply {
            events()
            checkExecutions()
        }.violations

        describe("an order") {
            it("may be executed once and answered with any status except 503") {
                for (status in listOf(200, 500, 502, 504, null)) {
                    violationsOf {
                        recordSent(RequestKind.ORDER, "a")
                        recordExecution("a")
                        recordOutcome(RequestKind.ORDER, "a", status)
                    }.shouldBeEmpty()
                }
            }

            it("must not be executed twice") {
                violationsOf {
                    recordSent(RequestKind.ORDER, "a")
                    recordExecution("a")
                    recordExecution("a")
                } shouldHaveSize 1
            }

            it("must not be executed if its caller got a 503, even if the execution starts later") {
                violationsOf {
                    recordSent(RequestKind.ORDER, "a")
                    recordOutcome(RequestKind.ORDER, "a", 503)
                    recordExecution("a")
                } shouldHaveSize 1
            }
        }

        describe("a lookup") {
            it("may be executed any number of times") {
                violationsOf {
                    recordSent(RequestKind.LOOKUP, "a")
                    repeat(3) { recordExecution("a") }
                    recordOutcome(RequestKind.LOOKUP, "a", 503)
                }.shouldBeEmpty()
            }
        }
    })
