package org.bilberryhead.core.memory

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll

private const val MEBIBYTE = 1024L * 1024

class BodyAdmissionTest :
    DescribeSpec({
        describe("the admission of bodies") {
            val limit = MemoryBudget(10 * MEBIBYTE).limit(MemoryKind.REQUEST_BODY)

            it("never lets a small body wait behind large ones") {
                val admission = BodyAdmission(MemoryBudget(10 * MEBIBYTE))
                repeat(4) { admission.newClaim { }.announce(3 * MEBIBYTE) }
                admission.newClaim { }.announce(MemoryReservation.SMALL_BYTES) shouldBe BodyDecision.READ
                admission.newClaim { }.announce(0) shouldBe BodyDecision.READ
            }

            it("lets large bodies wait in their order, and refuses those that would wait for too long") {
                val admission = BodyAdmission(MemoryBudget(10 * MEBIBYTE))
                val admitted = mutableListOf<Int>()
                val claims = List(5) { number -> admission.newClaim { admitted += number } }
                claims.map { it.announce(3 * MEBIBYTE) } shouldContainExactly listOf(
                    BodyDecision.READ,
                    BodyDecision.READ,
                    BodyDecision.WAIT,
                    BodyDecision.WAIT,
                    BodyDecision.REFUSE,
                )
                // A smaller one would have room, but does not overtake those that wait.
                admission.newClaim { }.announce(MEBIBYTE) shouldBe BodyDecision.WAIT
                claims[2].release()
                claims[0].release()
                admitted shouldContainExactly listOf(3)
            }

            it("refuses a body without a length once it has no room to grow") {
                val admission = BodyAdmission(MemoryBudget(10 * MEBIBYTE))
                repeat(2) { admission.newClaim { }.announce(3 * MEBIBYTE) }
                val claim = admission.newClaim { }
                claim.announce(0) shouldBe BodyDecision.READ
                claim.tryHold(MEBIBYTE) shouldBe true
                claim.tryHold(2 * MEBIBYTE) shouldBe false
            }

            it("holds no more than the limit in any order, and lets every body that waits be read in the end") {
                checkAll(200, Arb.list(Arb.int(0..40), 0..60)) { choices ->
                    val budget = MemoryBudget(10 * MEBIBYTE)
                    val admission = BodyAdmission(budget)
                    val held = mutableSetOf<BodyClaim>()
                    var waitingCount = 0
                    for (choice in choices) {
                        if (choice < 10 && held.isNotEmpty()) {
                            held.first().also(held::remove).release()
                        } else {
                            lateinit var claim: BodyClaim
                            claim = admission.newClaim {
                                waitingCount--
                                held += claim
                            }
                            when (claim.announce((choice + 1) * 100_000L)) {
                                BodyDecision.READ -> held += claim
                                BodyDecision.WAIT -> waitingCount++
                                BodyDecision.REFUSE -> Unit
                            }
                        }
                        budget.held(MemoryKind.REQUEST_BODY) shouldBeLessThanOrEqual limit
                    }
                    while (held.isNotEmpty()) held.first().also(held::remove).release()
                    waitingCount shouldBe 0
                    budget.held shouldBe 0
                }
            }
        }
    })
