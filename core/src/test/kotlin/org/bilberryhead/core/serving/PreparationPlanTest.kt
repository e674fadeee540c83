package org.bilberryhead.core.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.PoolName

private fun stage(vararg after: Int) = PreparationStage(PoolName("p"), after.toList(), resultBytes = 10)

class PreparationPlanTest :
    DescribeSpec({
        fun PreparationPlan.makeReady(): List<PieceId> = takeReady().map { it.id }.onEach {
            recordResult(it, ResultHandle("${it.stage}.${it.index}"))
        }

        describe("a chain of stages") {
            fun chain() = PreparationPlan(listOf(stage(), stage(0), stage(1)), pieces = listOf(1, 2, 1))

            it("is made one stage after the other, each from all results of the one before") {
                val plan = chain()
                plan.makeReady() shouldContainExactly listOf(PieceId(0, 0))
                plan.makeReady() shouldContainExactly listOf(PieceId(1, 0), PieceId(1, 1))
                val last = plan.takeReady().single()
                last.inputs.map { it.value } shouldContainExactly listOf("1.0", "1.1")
                plan.isComplete shouldBe false
                plan.recordResult(last.id, ResultHandle("2.0"))
                plan.isComplete shouldBe true
                plan.finalResults().map { it.value } shouldContainExactly listOf("2.0")
            }

            it("asks for no piece twice, but for one that failed") {
                val plan = chain()
                plan.takeReady().size shouldBe 1
                plan.takeReady().shouldBeEmpty()
                plan.recordFailure(PieceId(0, 0))
                plan.takeReady().size shouldBe 1
            }

            it("gives up results as soon as the stages that read them are made, and each once") {
                val plan = chain()
                plan.makeReady()
                plan.takeUnused().shouldBeEmpty()
                plan.makeReady()
                plan.takeUnused().map { it.handle.value } shouldContainExactly listOf("0.0")
                plan.takeUnused().shouldBeEmpty()
                plan.takeRemaining().map { it.handle.value } shouldContainExactlyInAnyOrder listOf("1.0", "1.1")
            }

            it("makes a stage again whose results are gone") {
                val plan = chain()
                plan.makeReady()
                plan.makeReady()
                plan.takeReady()
                plan.invalidateInputs(PieceId(2, 0)) shouldBe setOf(0, 1)
                plan.takeReady().map { it.id } shouldContainExactly listOf(PieceId(0, 0))
            }
        }

        describe("a plan that begins again") {
            it("makes every stage again that has pieces") {
                val plan = PreparationPlan(listOf(stage(), stage()), pieces = listOf(1, 0))
                plan.makeReady()
                plan.restart() shouldBe setOf(0)
                plan.takeReady().map { it.id } shouldContainExactly listOf(PieceId(0, 0))
            }
        }

        describe("results that a later stage reads") {
            it("have as many readers as that stage has pieces") {
                val plan = PreparationPlan(listOf(stage(), stage(0)), pieces = listOf(1, 3))
                plan.makeReady()
                plan.takeReady().map { it.readers } shouldContainExactly listOf(3, 3, 3)
            }

            it("have readers that are not counted when two stages read them") {
                val plan = PreparationPlan(listOf(stage(), stage(0), stage(0)), pieces = listOf(1, 1, 1))
                plan.makeReady()
                plan.takeReady().map { it.readers } shouldContainExactly listOf(0, 0)
            }

            it("are not given up again when that was done on the way") {
                val plan = PreparationPlan(listOf(stage(), stage(0)), pieces = listOf(1, 1))
                plan.makeReady()
                plan.recordInputsReleased(PieceId(1, 0))
                plan.makeReady()
                plan.takeUnused().shouldBeEmpty()
            }

            it("are given up when they are made again") {
                val plan = PreparationPlan(listOf(stage(), stage(0)), pieces = listOf(2, 1))
                plan.makeReady()
                plan.takeReady()
                plan.invalidateInputs(PieceId(1, 0))
                plan.takeUnused().map { it.handle.value } shouldContainExactlyInAnyOrder listOf("0.0", "0.1")
            }
        }

        describe("stages side by side") {
            it("leave out a stage without pieces and keep the order of the others") {
                val plan = PreparationPlan(listOf(stage(), stage(), stage(1)), pieces = listOf(2, 0, 0))
                plan.makeReady() shouldContainExactly listOf(PieceId(0, 0), PieceId(0, 1))
                plan.isComplete shouldBe true
                plan.finalResults().map { it.value } shouldContainExactly listOf("0.0", "0.1")
            }
        }
    })
