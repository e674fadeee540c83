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
            it("handles every event in every state, and never leaves a final state") {
                val chart = AttemptChart.chart
                AttemptState.entries.forEach { state ->
                    val targets = AttemptEvent.entries.map { chart.next(state, it).target }
                    if (chart.isFinal(state)) targets.toSet() shouldBe setOf(state)
                }
            }
            it("enters NOT_RUN only when the attempt was refused or moved, or its dispatch was not written") {
                val allowedEvents = setOf(AttemptEvent.REFUSED, AttemptEvent.MOVED, AttemptEvent.NOT_WRITTEN)
                val nonFinalStates = AttemptState.entries.filterNot { AttemptChart.chart.isFinal(it) }
                val eventsToNotRun = nonFinalStates.flatMap { state ->
                    AttemptEvent.entries.filter { AttemptChart.chart.next(state, it).target == AttemptState.NOT_RUN }
                }
                (eventsToNotRun.toSet() - allowedEvents) shouldBe emptySet()
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
            it("is rejected when a state does not handle an event") {
                shouldThrow<IllegalStateException> {
                    StateChart.load<SidecarState, SidecarEvent, SidecarAction>("/statecharts/unhandled-event.yaml")
                }
            }
            it("is rejected when it does not list a state") {
                shouldThrow<IllegalStateException> {
                    StateChart.load<SidecarState, SidecarEvent, SidecarAction>("/statecharts/missing-state.yaml")
                }
            }
        }
    })
