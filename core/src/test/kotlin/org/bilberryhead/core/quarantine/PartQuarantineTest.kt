package org.bilberryhead.core.quarantine

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.serving.PromptPartId
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val start = Instant.fromEpochSeconds(1_000)

private fun part(name: String) = PromptPartId(name)

private fun parts(names: String) = names.split(' ').map(::part)

private fun crash(number: Int) = CrashId(EndpointId("endpoint-$number"), startedAt = 1)

private fun report(number: Int, suspects: String) = CrashReport(crash(number), parts(suspects).toSet())

private val PartQuarantine.names
    get() = quarantined.map { group -> group.parts.map { it.value }.sorted().joinToString(" ") }

class PartQuarantineTest :
    DescribeSpec({
        fun quarantineAfter(vararg suspects: String) = PartQuarantine().apply {
            suspects.forEachIndexed { index, names -> record(report(index, names), start + index.seconds) }
        }

        describe("a part that was about to be answered at each of several crashes") {
            it("is quarantined after the third, alone") {
                quarantineAfter("bad a", "bad b").names.shouldBeEmpty()
                quarantineAfter("bad a", "bad b", "bad a c").names shouldBe listOf("bad")
            }

            it("is found although entries report the same crash with different parts, and in any order") {
                val reports =
                    listOf(report(0, "a"), report(0, "bad b"), report(1, "a"), report(1, "bad"), report(2, "bad"))
                for (order in listOf(reports, reports.reversed())) {
                    val quarantine = PartQuarantine()
                    order.forEach { quarantine.record(it, start) }
                    quarantine.names shouldBe listOf("bad")
                }
            }

            it("counts the crash of one run of an endpoint once") {
                val quarantine = PartQuarantine()
                repeat(5) { quarantine.record(report(0, "bad $it"), start) }
                quarantine.names.shouldBeEmpty()
            }

            it("makes requests with it stop, but no others") {
                val quarantine = quarantineAfter("bad a", "bad b", "bad a c")
                quarantine.quarantineOf(parts("a bad")).shouldNotBeNull().parts shouldBe setOf(part("bad"))
                quarantine.quarantineOf(parts("a b c")).shouldBeNull()
            }

            it("is one of two that are found when each has crashes of its own") {
                quarantineAfter("x a", "y a", "x b", "y c", "x d", "y e").names shouldContainExactlyInAnyOrder
                    listOf("x", "y")
            }
        }

        describe("parts that explain the crashes equally well") {
            it("are quarantined together, so that requests with only one of them tell them apart") {
                val quarantine = quarantineAfter("bad a", "bad a", "bad a")
                quarantine.quarantineOf(parts("x a bad")).shouldNotBeNull()
                quarantine.quarantineOf(parts("x a")).shouldBeNull()
                quarantine.quarantineOf(parts("x bad")).shouldBeNull()
                quarantineAfter("bad a", "bad a", "bad a", "bad b").names shouldBe listOf("bad")
                quarantine.recordSuccess(parts("a"), start + 3.seconds)
                quarantine.names shouldBe listOf("bad")
            }

            it("wait for more evidence up to the fifth crash when they overlap in some crashes only") {
                quarantineAfter("x y", "x y", "x a", "y b").names.shouldBeEmpty()
                quarantineAfter("x y", "x y", "x y", "x y", "x a", "y b").names shouldContainExactlyInAnyOrder
                    listOf("x", "y")
            }

            it("are each quarantined at the fifth crash when they are many") {
                quarantineAfter("bad a b", "bad a b", "bad a b", "bad a b").names shouldBe listOf("a b bad")
                quarantineAfter("bad a b", "bad a b", "bad a b", "bad a b", "bad a b").names
                    .shouldContainExactlyInAnyOrder(listOf("a", "b", "bad"))
            }

            it("are told apart by earlier successes") {
                val quarantine = PartQuarantine()
                quarantine.recordSuccess(parts("a"), start)
                repeat(3) { quarantine.record(report(it, "bad a"), start + it.seconds) }
                quarantine.names shouldBe listOf("bad")
            }
        }

        describe("a success of a part") {
            it("clears the crashes before it, so that it takes three more") {
                val quarantine = quarantineAfter("a x", "a y")
                quarantine.recordSuccess(parts("a"), start + 3.seconds) shouldBe true
                quarantine.record(report(3, "a z"), start + 4.seconds)
                quarantine.names.shouldBeEmpty()
            }

            it("ends a quarantine") {
                val quarantine = quarantineAfter("a x", "a y", "a z")
                quarantine.recordSuccess(parts("a"), start + 4.seconds)
                quarantine.names.shouldBeEmpty()
            }

            it("clears the part at other entries by the report of this one") {
                val quarantine = quarantineAfter("a x", "a y", "a z")
                val other = quarantineAfter("a x", "a y", "a z")
                quarantine.recordSuccess(parts("a"), start + 4.seconds)
                quarantine.ownReports.forEach { other.record(it, start + 5.seconds) shouldBe true }
                other.names.shouldBeEmpty()
            }

            it("need not be shared soon while the part is far from a quarantine") {
                quarantineAfter("a x").recordSuccess(parts("a"), start + 3.seconds) shouldBe false
            }
        }

        describe("a part that succeeds all the time, when many endpoints fail together") {
            it("is not quarantined") {
                val quarantine = PartQuarantine()
                quarantine.recordSuccess(parts("popular"), start)
                repeat(13) { quarantine.record(report(it, "popular $it"), start) }
                quarantine.names.shouldBeEmpty()
            }

            it("is not quarantined for crashes that a part without a success explains, nor for one crash more") {
                val quarantine = PartQuarantine()
                quarantine.recordSuccess(parts("popular"), start)
                repeat(5) { quarantine.record(report(it, "popular bad $it"), start + (it * 2).seconds) }
                quarantine.record(report(5, "popular"), start + 10.seconds)
                quarantine.names shouldBe listOf("bad")
            }

            it("is quarantined when it has stopped to succeed and crashes go on") {
                val quarantine = PartQuarantine()
                quarantine.recordSuccess(parts("popular"), start)
                repeat(6) { quarantine.record(report(it, "popular $it"), start + (it * 2).seconds) }
                quarantine.names shouldBe listOf("popular")
            }
        }

        describe("time without new evidence") {
            it("ends a quarantine ten minutes after the last crash") {
                val quarantine = quarantineAfter("bad a", "bad b", "bad c")
                quarantine.quarantined.single().until shouldBe start + 2.seconds + 10.minutes
                quarantine.expire(start + 1.seconds + 10.minutes)
                quarantine.names shouldBe listOf("bad")
                quarantine.expire(start + 2.seconds + 10.minutes)
                quarantine.names.shouldBeEmpty()
                quarantine.crashCount shouldBe 0
            }

            it("lets single crashes expire") {
                val quarantine = quarantineAfter("bad a", "bad b")
                quarantine.expire(start + 10.minutes)
                quarantine.record(report(7, "bad c"), start + 10.minutes)
                quarantine.names.shouldBeEmpty()
            }
        }

        describe("a part among thousands of others that were about to be answered at the same crashes") {
            // Guards against a bound on the suspects of a crash, behind which the part would never be suspected.
            fun prompt(number: Int, badAt: Int) =
                List(2_000) { PromptPartId("doc-${number * 7 + it}") }.toMutableList().apply { add(badAt, part("bad")) }

            for (badAt in listOf(0, 64, 2_000)) {
                it("is found wherever it stands in its prompt, here at $badAt") {
                    val quarantine = PartQuarantine()
                    for (number in 0..3) {
                        val report = CrashReport(crash(number), prompt(number, badAt).toSet())
                        quarantine.record(report, start + number.seconds)
                        quarantine.recordSuccess(prompt(number, badAt) - part("bad"), start + number.seconds)
                    }
                    quarantine.names shouldBe listOf("bad")
                }
            }

            it("is found whoever else was about to be answered there, and in whatever order they are reported") {
                for (isLast in listOf(true, false)) {
                    val quarantine = PartQuarantine()
                    for (number in 0..3) {
                        val others = List(6) { CrashReport(crash(number), prompt(number * 6 + it, 0).drop(1).toSet()) }
                        val own = CrashReport(crash(number), setOf(part("bad")))
                        (if (isLast) others + own else listOf(own) + others).forEach { quarantine.record(it, start) }
                    }
                    quarantine.recordSuccess(List(2_200) { PromptPartId("doc-$it") }, start + 1.seconds)
                    quarantine.names shouldBe listOf("bad")
                }
            }

            it("is found although its id is long, and is not taken for another long one") {
                val long = "x".repeat(10_000)
                val quarantine = PartQuarantine()
                repeat(3) {
                    quarantine.record(CrashReport(crash(it), setOf(PromptPartId.of(long + "bad"), part("a$it"))), start)
                }
                quarantine.quarantineOf(listOf(PromptPartId.of(long + "bad"))).shouldNotBeNull()
                quarantine.quarantineOf(listOf(PromptPartId.of(long + "sound"))).shouldBeNull()
            }
        }

        describe("parts that were cleared") {
            it("leave the room that they had to others at the same crash") {
                val quarantine = PartQuarantine(QuarantineLimits(maximumSuspects = 40))
                for (number in 0..2) {
                    val others = List(10) { part("sound-$number-$it") }
                    quarantine.record(CrashReport(crash(number), others.toSet()), start)
                    quarantine.recordSuccess(others, start)
                    quarantine.record(CrashReport(crash(number), setOf(part("bad"))), start)
                }
                quarantine.names shouldBe listOf("bad")
            }
        }

        describe("the memory") {
            it("is bounded, and keeps the crashes on which a quarantine is based") {
                val limits = QuarantineLimits()
                val quarantine = quarantineAfter("bad a", "bad b", "bad c")
                for (number in 10..1_000) {
                    val suspects = (0..100).mapTo(mutableSetOf()) { part("$number-$it") }
                    quarantine.record(CrashReport(crash(number), suspects, suspects), start, isOwn = true)
                    quarantine.recordSuccess((0..9).map { part("success-$number-$it") }, start)
                }
                quarantine.crashCount shouldBe limits.maximumCrashes
                quarantine.succeededCount shouldBe limits.maximumSucceeded
                quarantine.names shouldBe listOf("bad")
            }

            it("is bounded for parts: older crashes go as a whole, and what one crash has too much is counted") {
                val quarantine = PartQuarantine(QuarantineLimits(maximumSuspects = 100))
                val known = List(60) { part("known-$it") }
                quarantine.recordSuccess(known, start)
                quarantine.record(CrashReport(crash(0), setOf(part("old"))), start, isOwn = true)
                val suspects = known + List(60) { part("new-$it") }
                quarantine.record(CrashReport(crash(1), suspects.toSet()), start, isOwn = true)
                quarantine.crashCount shouldBe 1
                quarantine.droppedSuspects shouldBe 20
                // Parts that have succeeded are left out before the others.
                val kept = quarantine.ownReports.single().suspects
                kept.size shouldBe 100
                kept shouldContainAll suspects.drop(60)
            }
        }

        describe("entries that share reports while one request in 20 has a part that crashes endpoints") {
            for (seed in 1..40) {
                it("quarantine it by the fifth crash and no other part in the end (seed $seed)") {
                    val simulation = QuarantineSimulation(seed)
                    simulation.play(40.seconds)
                    simulation.entries.forEach { it.names shouldBe listOf("bad") }
                    simulation.lateBadRequests shouldBe 0
                    simulation.soundAnswers.toDouble() / simulation.soundRequests shouldBeGreaterThan 0.85
                }
            }
        }
    })
