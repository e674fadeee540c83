package org.bilberryhead.core.execution

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.message.AttemptLocation
import org.bilberryhead.core.message.RefusalReason
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

private val NOW = Instant.fromEpochSeconds(1_800_000_000)
private val FINGERPRINT = AttemptFingerprint(ClientAccount("route-owner"), "digest")
private val CONFIG = PropTestConfig(seed = 4)

class AttemptLedgerTest :
    DescribeSpec({
        describe("an attempt id") {
            it("is accepted at most once, even if attempts are forgotten in between") {
                checkAll(CONFIG, Arb.list(Arb.int(0..20), 0..200)) { numbers ->
                    val ledger = AttemptLedger(LedgerLimits(maximumEnded = 3, maximumOrigins = 4))
                    val accepted = mutableListOf<AttemptId>()
                    numbers.forEach { number ->
                        val id = idOf(number)
                        if (ledger[id] == null && !ledger.isForgotten(id)) {
                            ledger.accept(id, FINGERPRINT)
                            ledger.append(id, Payload.ofText("answer"), last = true, NOW)
                            accepted += id
                        }
                    }
                    accepted shouldBe accepted.distinct()
                }
            }
            it("cannot be accepted again after the retention has passed") {
                val ledger = AttemptLedger()
                val old = idOf(1)
                ledger.accept(old, FINGERPRINT)
                ledger.fail(old, "failed", NOW)
                ledger.forgetExpired(NOW + 11.minutes)
                ledger.size shouldBe 0
                shouldThrow<IllegalStateException> { ledger.accept(old, FINGERPRINT) }
            }
            it("of a new request is not mistaken for a forgotten one of the same generator") {
                val generator = RequestIdGenerator("entry-1")
                val ledger = AttemptLedger(LedgerLimits(maximumEnded = 1))
                val ids = List(10) { AttemptId("${generator.next()}:0:0") }
                ids.dropLast(1).forEach { ledger.addTombstone(it, RefusalReason.NEVER_SEEN, NOW) }
                ids.map { ledger.isForgotten(it) } shouldBe List(8) { true } + listOf(false, false)
            }
        }
        describe("the stored responses") {
            it("stay within the maximum size, and the newest is kept") {
                checkAll(CONFIG, Arb.list(Arb.int(0..60), 1..50)) { sizes ->
                    val ledger = AttemptLedger(LedgerLimits(maximumBytes = 100))
                    sizes.forEachIndexed { index, size ->
                        val id = AttemptId("run.$index:0:0")
                        ledger.accept(id, FINGERPRINT)
                        ledger.append(id, Payload(ByteArray(size)), last = true, NOW)
                        (ledger[id] is LedgerEntry.Finished) shouldBe true
                    }
                    ledger.endedBytes shouldBeLessThanOrEqual 100L
                }
            }
        }
        describe("a tombstone") {
            it("keeps the first recorded move") {
                val ledger = AttemptLedger()
                ledger.addTombstone(idOf(1), RefusalReason.LEAVING, NOW)
                val first = AttemptLocation(EndpointId("first"), Incarnation("run"), idOf(2))
                ledger.recordMove(idOf(1), first)
                val entry = ledger.recordMove(idOf(1), first.copy(endpoint = EndpointId("second")))
                (entry as LedgerEntry.Tombstone).movedTo shouldBe first
            }
            it("does not replace an attempt that has started to respond") {
                val ledger = AttemptLedger()
                ledger.accept(idOf(1), FINGERPRINT)
                ledger.append(idOf(1), Payload.ofText("part"), last = false, NOW)
                val entry = ledger.addTombstone(idOf(1), RefusalReason.ENDPOINT_UNREACHABLE, NOW)
                (entry is LedgerEntry.Accepted) shouldBe true
            }
        }
    }) {
    private companion object {
        /** Returns ids of two generators, and ids that no generator assigned. */
        fun idOf(number: Int): AttemptId = when (number % 3) {
            0 -> AttemptId("${RequestId("run-a.$number")}:0:0")
            1 -> AttemptId("${RequestId("run-b.$number")}:0:0")
            else -> AttemptId("caller-chosen-$number")
        }
    }
}
