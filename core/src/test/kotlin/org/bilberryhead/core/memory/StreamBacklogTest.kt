package org.bilberryhead.core.memory

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll

private const val MEBIBYTE = 1024L * 1024

/** Larger than what is reserved for one read. */
private const val LONG_PART_BYTES = 20_000

class StreamBacklogTest :
    DescribeSpec({
        val kind = MemoryKind.STREAM_BACKLOG

        /** Adds parts as long as the stream may be read; returns how many. */
        fun StreamBacklog.fill(): Int {
            var count = 0
            while (tryReserveRead()) {
                add(ByteArray(10_000))
                count++
            }
            return count
        }

        describe("the backlog of a stream") {
            it("never loses a part or changes the order, and holds nothing when all were taken") {
                val memory = MemoryBudget(MEBIBYTE)
                val backlog = StreamBacklog(memory)
                List(50) { byteArrayOf(it.toByte()) }.forEach(backlog::add)
                generateSequence { backlog.removeFirst() }.map { it.single().toInt() }.toList() shouldContainExactly
                    List(50) { it }
                memory.held shouldBe 0
            }

            it("cannot use up the share alone, and leaves other streams room when it is full") {
                val memory = MemoryBudget(40 * MEBIBYTE)
                StreamBacklog(memory).fill()
                memory.held(kind) shouldBeLessThanOrEqual memory.limit(kind) / 8
                List(7) { StreamBacklog(memory).fill() }.min() shouldBeGreaterThanOrEqual 30
            }

            it("has room although the other kinds hold all that they can") {
                val memory = MemoryBudget(10 * MEBIBYTE)
                for (other in MemoryKind.entries - kind) {
                    val reservation = memory.newReservation(other)
                    generateSequence(MEBIBYTE) { it + MEBIBYTE / 8 }.takeWhile(reservation::tryResize).lastOrNull()
                }
                StreamBacklog(memory).tryReserveRead() shouldBe true
                memory.held shouldBeLessThanOrEqual memory.capacity
            }

            it("counts a part that was received without room, and pauses reading until it is taken") {
                val memory = MemoryBudget(MEBIBYTE)
                val backlog = StreamBacklog(memory)
                backlog.add(ByteArray(LONG_PART_BYTES))
                memory.held(kind) shouldBeGreaterThan LONG_PART_BYTES.toLong()
                backlog.tryReserveRead() shouldBe false
                backlog.clear()
                memory.held shouldBe 0
            }

            it("keeps all streams within the share in any order of reads, takes and departures") {
                checkAll(200, Arb.list(Arb.int(0..99), 0..300)) { choices ->
                    val memory = MemoryBudget(4 * MEBIBYTE)
                    val backlogs = List(30) { StreamBacklog(memory) }
                    for (choice in choices) {
                        val backlog = backlogs[choice % backlogs.size]
                        when {
                            choice < 10 -> backlog.clear()
                            choice < 20 -> backlog.removeFirst()
                            backlog.tryReserveRead() -> backlog.add(ByteArray(choice * 100))
                        }
                        memory.held(kind) shouldBeLessThanOrEqual memory.limit(kind)
                    }
                    backlogs.forEach { it.clear() }
                    memory.held shouldBe 0
                }
            }
        }
    })
