package org.bilberryhead.core.lease

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.FencingNumber
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val start = Instant.fromEpochSeconds(1_800_000_000)

class LeaseHolderTest :
    DescribeSpec({
        describe("the lease chart") {
            it("reaches every state") {
                LeaseChart.chart.reachableStates() shouldBe LeaseState.entries.toSet()
            }
        }
        describe("a holder") {
            it("may use its number while the lease is valid") {
                val lease = LeaseHolder(validity = 5.seconds).apply { recordAcquired(FencingNumber(7), start) }

                lease.validNumber(start + 4.seconds) shouldBe FencingNumber(7)
            }
            it("finds the lease expired after a pause, until a read confirms it") {
                val lease = LeaseHolder(validity = 5.seconds).apply { recordAcquired(FencingNumber(7), start) }

                lease.validNumber(start + 60.seconds) shouldBe null
                lease.recordRead(FencingNumber(7), start + 61.seconds)
                lease.validNumber(start + 62.seconds) shouldBe FencingNumber(7)
            }
            it("counts the validity from the start of a read, however late its response arrives") {
                val lease = LeaseHolder(validity = 5.seconds).apply { recordAcquired(FencingNumber(7), start) }

                lease.recordRead(FencingNumber(7), start + 1.seconds)

                lease.validNumber(start + 6.seconds) shouldBe null
            }
            it("does not use its number again after another holder has acquired the lease") {
                val lease = LeaseHolder(validity = 5.seconds).apply { recordAcquired(FencingNumber(7), start) }

                lease.recordRead(FencingNumber(8), start + 1.seconds)
                lease.recordRead(FencingNumber(7), start + 2.seconds)

                lease.validNumber(start + 2.seconds) shouldBe null
                lease.state shouldBe LeaseState.LOST
            }
        }
    })
