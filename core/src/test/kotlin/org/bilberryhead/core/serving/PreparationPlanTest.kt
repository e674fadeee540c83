package org.bilberryhead.core.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.PoolName

private fun stage(vararg inputStages: Int) = PreparationStage(PoolName("p"), inputStages.toList(), resultBytes = 10)

class PreparationPlanTest :
    DescribeSpec({
        fun PreparationPlan.completeReady(): List<PieceId> = takeReady().map { it.id }.onEach {
            recordResult(it, ResultHandle("${it.stage}.${it.index}"))
        }

        describe("a chain of stages") {
            fun chain() = PreparationPlan(listOf(stage(), stage(0), stage(1)), pieces = listOf(1, 2, 1))

            it("is computed one stage after the other, each from all results of the stage before") {
                val plan = chain()
                plan.completeReady() shouldContainExactly listOf(PieceId(0, 0))
                plan.completeReady() shouldContainExactly listOf(PieceId(1, 0), PieceId(1, 1))
                val last = plan.takeReady().single()
                last.inputs.map { it.value } shouldContainExactly listOf("1.0", "1.1")
                plan.isComplete shouldBe false
                plan.recordResult(last.id, ResultHandle("2.0"))
                plan.isComplete shouldBe true
                plan.finalResults().map { it.value } shouldContainExactly listOf("2.0")
            }

            it("returns no piece twice, except one that failed") {
                val plan = chain()
                plan.takeReady().size shouldBe 1
                plan.takeReady().shouldBeEmpty()
                plan.recordFailure(PieceId(0, 0))
                plan.takeReady().size shouldBe 1
            }

            it("releases each result once, as soon as the stages that read it are complete") {
                val plan = chain()
                plan.completeReady()
                plan.takeUnused().shouldBeEmpty()
                plan.completeReady()
                plan.takeUnused().map { it.handle.value } shouldContainExactly listOf("0.0")
                plan.takeUnused().shouldBeEmpty()
                plan.takeRemaining().map { it.handle.value } shouldContainExactlyInAnyOrder listOf("1.0", "1.1")
            }

            it("computes a stage again when its results are lost") {
                val plan = chain()
                plan.completeReady()
                plan.completeReady()
                plan.takeReady()
                plan.invalidateInputs(PieceId(2, 0)) shouldBe setOf(0, 1)
                plan.takeReady().map { it.id } shouldContainExactly listOf(PieceId(0, 0))
            }
        }

        describe("a plan that is restarted") {
            it("computes every stage with pieces again") {
                val plan = PreparationPlan(listOf(stage(), stage()), pieces = listOf(1, 0))
                plan.completeReady()
                plan.restart() shouldBe setOf(0)
                plan.takeReady().map { it.id } shouldContainExactly listOf(PieceId(0, 0))
            }
        }

        describe("results that a later stage reads") {
            it("have as many readers as that stage has pieces") {
                val plan = PreparationPlan(listOf(stage(), stage(0)), pieces = listOf(1, 3))
                plan.completeReady()
                plan.takeReady().map { it.readers } shouldContainExactly listOf(3, 3, 3)
            }

            it("have a reader count of 0 when two stages read them") {
                val plan = PreparationPlan(listOf(stage(), stage(0), stage(0)), pieces = listOf(1, 1, 1))
                plan.completeReady()
                plan.takeReady().map { it.readers } shouldContainExactly listOf(0, 0)
            }

            it("are not released again when they were released early") {
                val plan = PreparationPlan(listOf(stage(), stage(0)), pieces = listOf(1, 1))
                plan.completeReady()
                plan.recordInputsReleased(PieceId(1, 0))
                plan.completeReady()
                plan.takeUnused().shouldBeEmpty()
            }

            it("are released when they are computed again") {
                val plan = PreparationPlan(listOf(stage(), stage(0)), pieces = listOf(2, 1))
                plan.completeReady()
                plan.takeReady()
                plan.invalidateInputs(PieceId(1, 0))
                plan.takeUnused().map { it.handle.value } shouldContainExactlyInAnyOrder listOf("0.0", "0.1")
            }
        }

        describe("stages without dependencies between them") {
            it("skip a stage without pieces and keep the order of the others") {
                val plan = PreparationPlan(listOf(stage(), stage(), stage(1)), pieces = listOf(2, 0, 0))
                plan.completeReady() shouldContainExactly listOf(PieceId(0, 0), PieceId(0, 1))
                plan.isComplete shouldBe true
                plan.finalResults().map { it.value } shouldContainExactly listOf("0.0", "0.1")
            }
        }
    })
