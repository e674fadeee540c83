package org.bilberryhead.core.statechart

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.execution.AttemptChart
import org.bilberryhead.core.execution.AttemptEvent
import org.bilberryhead.core.execution.AttemptState
import org.bilberryhead.core.gate.SidecarAction
import org.bilberryhead.core.gate.SidecarChart
import org.bilberryhead.core.gate.SidecarEvent
import org.bilberryhead.core.gate.SidecarState

class StateChartTest :
    DescribeSpec({
        describe("the attempt chart") {
            it("reaches every state") {
                AttemptChart.chart.reachableStates() shouldBe AttemptState.entries.toSet()
            }
            it("handles every event in every state, and leaves no final one") {
                val chart = AttemptChart.chart
                AttemptState.entries.forEach { state ->
                    val targets = AttemptEvent.entries.map { chart.next(state, it).target }
                    if (chart.isFinal(state)) targets.toSet() shouldBe setOf(state)
                }
            }
            it("calls an attempt not run only on a refusal, a move or an unwritten dispatch") {
                val evidence = setOf(AttemptEvent.REFUSED, AttemptEvent.MOVED, AttemptEvent.NOT_WRITTEN)
                val open = AttemptState.entries.filterNot { AttemptChart.chart.isFinal(it) }
                val leading = open.flatMap { state ->
                    AttemptEvent.entries.filter { AttemptChart.chart.next(state, it).target == AttemptState.NOT_RUN }
                }
                (leading.toSet() - evidence) shouldBe emptySet()
            }
        }
        describe("the sidecar chart") {
            it("reaches every state") {
                SidecarChart.chart.reachableStates() shouldBe SidecarState.entries.toSet()
            }
            it("handles every event in every state") {
                SidecarState.entries.forEach { state ->
                    SidecarEvent.entries.forEach { SidecarChart.chart.next(state, it) }
                }
            }
        }
        describe("a chart file") {
            it("is rejected when an event is not handled") {
                shouldThrow<IllegalStateException> {
                    StateChart.load<SidecarState, SidecarEvent, SidecarAction>("/statecharts/unhandled-event.yaml")
                }
            }
            it("is rejected when a state is not listed") {
                shouldThrow<IllegalStateException> {
                    StateChart.load<SidecarState, SidecarEvent, SidecarAction>("/statecharts/missing-state.yaml")
                }
            }
        }
    })
