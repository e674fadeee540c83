package org.bilberryhead.core.memory

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.byte
import io.kotest.property.arbitrary.byteArray
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll

private const val MEBIBYTE = 1024L * 1024

class MemoryBudgetTest :
    DescribeSpec({
        describe("a budget of memory") {
            it("refuses large amounts beyond the limit of their kind, and never small ones") {
                val budget = MemoryBudget(10 * MEBIBYTE)
                val first = budget.newReservation(MemoryKind.ENDPOINT_RESPONSE)
                first.tryResize(4 * MEBIBYTE) shouldBe true
                val second = budget.newReservation(MemoryKind.ENDPOINT_RESPONSE)
                second.tryResize(2 * MEBIBYTE) shouldBe false
                second.bytes shouldBe 0
                second.tryResize(MemoryReservation.SMALL_BYTES) shouldBe true
                budget.newReservation(MemoryKind.REQUEST_BODY).tryResize(5 * MEBIBYTE) shouldBe true
                budget.newReservation(MemoryKind.OTHER_RESPONSE).tryResize(MEBIBYTE) shouldBe false
            }

            it("has room again for what was released or made smaller, once") {
                val budget = MemoryBudget(10 * MEBIBYTE)
                val reservation = budget.newReservation(MemoryKind.REQUEST_BODY)
                reservation.tryResize(7 * MEBIBYTE) shouldBe true
                reservation.tryResize(6 * MEBIBYTE) shouldBe true
                budget.held shouldBe 6 * MEBIBYTE
                repeat(2) { reservation.release() }
                budget.held shouldBe 0
                budget.held(MemoryKind.REQUEST_BODY) shouldBe 0
            }

            it("leaves room for the program in every heap, and is never empty") {
                MemoryBudget.ofHeap(96 * MEBIBYTE).capacity shouldBeLessThanOrEqual 48 * MEBIBYTE
                MemoryBudget.ofHeap(32 * MEBIBYTE).capacity shouldBeGreaterThan 0
            }
        }

        describe("a buffer of blocks") {
            it("returns what was written, however it was split, and allocates little more") {
                checkAll(100, Arb.list(Arb.byteArray(Arb.int(0..40_000), Arb.byte()), 0..10)) { parts ->
                    val buffer = BlockBuffer()
                    parts.forEach(buffer::write)
                    val expected = parts.fold(ByteArray(0)) { whole, part -> whole + part }
                    buffer.toByteArray().contentEquals(expected) shouldBe true
                    val content = buffer.parts.fold(ByteArray(0)) { whole, part ->
                        whole + ByteArray(part.remaining()).also(part::get)
                    }
                    content.contentEquals(expected) shouldBe true
                    buffer.size shouldBe expected.size
                    buffer.allocatedBytes shouldBeLessThanOrEqual expected.size + 16L * 1024
                    buffer.clear()
                    buffer.toByteArray().size shouldBe 0
                    buffer.allocatedBytes shouldBe 0
                }
            }

            it("shares its blocks with what is sent instead of copying them") {
                val buffer = BlockBuffer()
                buffer.write(ByteArray(40_000))
                buffer.parts.sumOf { it.array().size.toLong() } shouldBe buffer.allocatedBytes
                buffer.parts.zip(buffer.parts).all { (first, second) -> first.array() === second.array() } shouldBe true
            }

            it("allocates little for many parts of a byte") {
                val buffer = BlockBuffer()
                repeat(100_000) { buffer.write(byteArrayOf(1)) }
                buffer.allocatedBytes shouldBeLessThanOrEqual 120_000
            }
        }
    })
