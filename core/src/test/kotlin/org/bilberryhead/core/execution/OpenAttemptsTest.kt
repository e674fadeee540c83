package org.bilberryhead.core.execution

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.message.Cancel
import org.bilberryhead.core.message.Query

private val incarnation = Incarnation("run-1")
private val attempt = AttemptId("ticket")

private fun query(account: String, of: AttemptId = attempt) =
    Query(of, incarnation, 0, RequestId("request"), ClientAccount(account), "work")

class OpenAttemptsTest :
    DescribeSpec({
        describe("an attempt id that two client accounts use") {
            it("belongs to the first account, and messages reach only that account's request") {
                val open = OpenAttempts<String>()

                open.subscribeBeforeSend(query("ann"), incarnation, "ann's request") shouldBe true
                open.subscribeBeforeSend(query("bea"), incarnation, "bea's request") shouldBe false

                open[attempt].map { it.subscriber } shouldContainExactly listOf("ann's request")
            }

            it("still belongs to the first account after its request has ended, so that others get no late messages") {
                val open = OpenAttempts<String>()
                open.subscribeBeforeSend(query("ann"), incarnation, "ann's request")
                open.unsubscribe(attempt, "ann's request")

                open.subscribeBeforeSend(query("bea"), incarnation, "bea's request") shouldBe false

                open[attempt].shouldBeEmpty()
            }

            it("is available again once more later attempts than the maximum are remembered") {
                val open = OpenAttempts<String>(maximumRemembered = 2)
                open.subscribeBeforeSend(query("ann"), incarnation, "ann's request")
                open.unsubscribe(attempt, "ann's request")
                repeat(2) { open.subscribeBeforeSend(query("ann", AttemptId("later-$it")), incarnation, "request $it") }

                open.subscribeBeforeSend(query("bea"), incarnation, "bea's request") shouldBe true
            }
        }

        describe("the same work submitted twice under one attempt id") {
            it("has two subscribers, which unsubscribe separately") {
                val open = OpenAttempts<String>()
                listOf("first", "second").forEach {
                    open.subscribeBeforeSend(query("ann"), incarnation, it) shouldBe true
                }

                open.unsubscribe(attempt, "first")

                open[attempt].map { it.subscriber } shouldContainExactly listOf("second")
            }
        }

        describe("a message without a fingerprint") {
            it("may be sent only by a request that is subscribed") {
                val open = OpenAttempts<String>()
                val cancel = Cancel(attempt, incarnation, RequestId("request"))
                open.subscribeBeforeSend(query("ann"), incarnation, "ann's request")

                open.subscribeBeforeSend(cancel, incarnation, "ann's request") shouldBe true
                open.subscribeBeforeSend(cancel, incarnation, "bea's request") shouldBe false
            }
        }
    })
