package org.bilberryhead.core.execution

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.message.Frame
import kotlin.random.Random

class FrameAssemblerTest :
    DescribeSpec({
        val config = PropTestConfig(seed = 5)
        describe("a response") {
            it("is complete and in order when frames arrive shuffled and more than once") {
                checkAll(config, Arb.list(Arb.string(0..4), 1..20), Arb.long()) { parts, seed ->
                    val frames = framesOf(parts)
                    val arrivals = (frames + frames.filter { it.number % 2 == 0 }).shuffled(Random(seed))
                    val assembler = FrameAssembler()
                    val released = arrivals.flatMap { assembler.add(it) }
                    released.map { it.text() } shouldBe parts
                    assembler.completeResponse().text() shouldBe parts.joinToString("")
                }
            }
            it("is not complete while a frame is missing") {
                checkAll(config, Arb.list(Arb.string(0..4), 1..20), Arb.int(0..19)) { parts, missing ->
                    val absent = missing % parts.size
                    val assembler = FrameAssembler()
                    framesOf(parts).filter { it.number != absent }.forEach { assembler.add(it) }
                    assembler.isComplete shouldBe false
                    assembler.nextFrameNumber shouldBe absent
                }
            }
        }
    }) {
    private companion object {
        fun framesOf(parts: List<String>): List<Frame> = parts.mapIndexed { number, part ->
            Frame(AttemptId("attempt"), number, Payload.ofText(part), last = number == parts.lastIndex)
        }
    }
}
