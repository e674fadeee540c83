package org.bilberryhead.forwarding.caller

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.bilberryhead.core.memory.BodyAdmission
import org.bilberryhead.core.memory.MemoryBudget
import org.bilberryhead.core.memory.MemoryKind
import org.bilberryhead.core.serving.CallerLimits
import kotlin.time.Duration.Companion.seconds

private const val BODY_BYTES = 100_000
private const val HELD_BYTES = 150_000L

/** A connection whose caller has begun a body while another one holds the memory. */
private class FullMemory {
    val memory = MemoryBudget(300_000)
    private val bodies = BodyAdmission(memory)
    val otherBody = bodies.newClaim { }.apply { announce(HELD_BYTES) }
    val harness = CallerConnectionHarness(bodies).apply {
        limits =
            CallerLimits(headerBytes = 500, bodyBytes = 200_000, headerTimeout = 3.seconds, idleTimeout = 15.seconds)
        receive(
            "POST /order/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nExpect: 100-continue\r\n" +
                "Content-Length: $BODY_BYTES\r\n\r\n",
        )
    }
}

class WaitingBodyTest :
    DescribeSpec({
        describe("a connection whose body has no room in the memory") {
            it("is not read, nor told to send, before memory is returned") {
                with(FullMemory()) {
                    harness.sentText shouldBe ""
                    harness.channel.config().isAutoRead shouldBe false
                    otherBody.release()
                    harness.sentText shouldContain "100 Continue"
                    harness.receive("x".repeat(BODY_BYTES))
                    harness.served shouldHaveSize 1
                    memory.held(MemoryKind.REQUEST_BODY) shouldBe BODY_BYTES.toLong()
                    harness.served.single().respond()
                    memory.held shouldBe 0
                }
            }

            it("gets a refusal that says when to try again, and holds nothing, when it waits for too long") {
                with(FullMemory()) {
                    harness.advance(3.seconds)
                    val refusal = harness.responses.single()
                    refusal.status shouldBe 503
                    refusal.header("Retry-After").shouldNotBeNull()
                    refusal.header("X-Request-Id") shouldBe "a"
                    harness.served.shouldBeEmpty()
                    memory.held shouldBe HELD_BYTES
                }
            }

            it("holds nothing after its caller has gone") {
                with(FullMemory()) {
                    harness.channel.close()
                    otherBody.release()
                    memory.held shouldBe 0
                }
            }
        }
    })
