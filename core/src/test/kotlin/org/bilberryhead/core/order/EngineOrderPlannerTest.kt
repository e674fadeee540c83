package org.bilberryhead.core.order

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.tables.EngineConfiguration
import kotlin.random.Random

private fun <T> Random.some(all: List<T>): Set<T> = all.filter { nextBoolean() }.toSet()

private val models = List(4) { ModelVersion("model-$it") }
private val adapters = List(4) { AdapterName("adapter-$it") }
private val roles = listOf(null, EngineRole("prefill"), EngineRole("decode"))

private fun ordersTo(wanted: DesiredEngineState, first: EngineState): List<Order> = buildList {
    var loaded = first
    while (true) {
        val order = EngineOrderPlanner.next(wanted, loaded) ?: break
        check(size < 20) { "no end: $this" }
        add(order)
        loaded = loaded.after(order)
    }
}

class EngineOrderPlannerTest :
    DescribeSpec({
        val wanted = DesiredEngineState.of(EngineConfiguration("advisor-v4", listOf("storm"), "decode"))

        describe("the planner") {
            it("loads, then unloads, and changes the role last") {
                val loaded = EngineState(setOf(ModelVersion("advisor-v3")), setOf(AdapterName("ice")))

                ordersTo(wanted, loaded) shouldBe listOf(
                    Order.LoadModel(ModelVersion("advisor-v4")),
                    Order.LoadAdapter(AdapterName("storm")),
                    Order.UnloadAdapter(AdapterName("ice")),
                    Order.UnloadModel(ModelVersion("advisor-v3")),
                    Order.SetRole(EngineRole("decode")),
                )
            }
            it("asks for nothing when the engine has what is wanted") {
                val loaded = EngineState(setOf(wanted.model), wanted.adapters, wanted.role)

                EngineOrderPlanner.next(wanted, loaded) shouldBe null
            }
            it("leaves any role when none is wanted") {
                val loaded = EngineState(setOf(wanted.model), wanted.adapters, EngineRole("prefill"))

                EngineOrderPlanner.next(wanted.copy(role = null), loaded) shouldBe null
            }
        }

        describe("the orders between any two states") {
            val random = Random(1)
            val pairs = List(500) {
                val start = EngineState(random.some(models), random.some(adapters), roles.random(random))
                start to DesiredEngineState(models.random(random), random.some(adapters), roles.random(random))
            }

            it("end in the wanted state, also when each is given twice") {
                pairs.forEach { (start, target) ->
                    val orders = ordersTo(target, start)
                    val end = orders.fold(start, EngineState::after)

                    end shouldBe EngineState(setOf(target.model), target.adapters, target.role ?: start.role)
                    orders.flatMap { listOf(it, it) }.fold(start, EngineState::after) shouldBe end
                }
            }
            it("never leave the engine without a model") {
                pairs.forEach { (start, target) ->
                    val states = ordersTo(target, start).runningFold(start, EngineState::after).drop(1)

                    states.none { it.models.isEmpty() } shouldBe true
                }
            }
        }
    })
