package org.bilberryhead.core.order

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.tables.EngineConfiguration
import kotlin.random.Random

private fun <T> Random.subset(all: List<T>): Set<T> = all.filter { nextBoolean() }.toSet()

private val models = List(4) { ModelVersion("model-$it") }
private val adapters = List(4) { AdapterName("adapter-$it") }
private val roles = listOf(null, EngineRole("prefill"), EngineRole("decode"))

private fun ordersToReach(desired: DesiredEngineState, initial: EngineState): List<Order> = buildList {
    var actual = initial
    while (true) {
        val order = EngineOrderPlanner.next(desired, actual) ?: break
        check(size < 20) { "the planner does not terminate: $this" }
        add(order)
        actual = actual.after(order)
    }
}

class EngineOrderPlannerTest :
    DescribeSpec({
        val desired = DesiredEngineState.of(EngineConfiguration("advisor-v4", listOf("storm"), "decode"))

        describe("the planner") {
            it("loads first, then unloads, and sets the role last") {
                val loaded = EngineState(setOf(ModelVersion("advisor-v3")), setOf(AdapterName("ice")))

                ordersToReach(desired, loaded) shouldBe listOf(
                    Order.LoadModel(ModelVersion("advisor-v4")),
                    Order.LoadAdapter(AdapterName("storm")),
                    Order.UnloadAdapter(AdapterName("ice")),
                    Order.UnloadModel(ModelVersion("advisor-v3")),
                    Order.SetRole(EngineRole("decode")),
                )
            }
            it("returns no order when the engine has the desired state") {
                val loaded = EngineState(setOf(desired.model), desired.adapters, desired.role)

                EngineOrderPlanner.next(desired, loaded) shouldBe null
            }
            it("keeps any role when none is desired") {
                val loaded = EngineState(setOf(desired.model), desired.adapters, EngineRole("prefill"))

                EngineOrderPlanner.next(desired.copy(role = null), loaded) shouldBe null
            }
        }

        describe("the orders between any two states") {
            val random = Random(1)
            val pairs = List(500) {
                val start = EngineState(random.subset(models), random.subset(adapters), roles.random(random))
                start to DesiredEngineState(models.random(random), random.subset(adapters), roles.random(random))
            }

            it("lead to the desired state, even if each is executed twice") {
                pairs.forEach { (start, target) ->
                    val orders = ordersToReach(target, start)
                    val end = orders.fold(start, EngineState::after)

                    end shouldBe EngineState(setOf(target.model), target.adapters, target.role ?: start.role)
                    orders.flatMap { listOf(it, it) }.fold(start, EngineState::after) shouldBe end
                }
            }
            it("never leave the engine without a model") {
                pairs.forEach { (start, target) ->
                    val states = ordersToReach(target, start).runningFold(start, EngineState::after).drop(1)

                    states.none { it.models.isEmpty() } shouldBe true
                }
            }
        }
    })
