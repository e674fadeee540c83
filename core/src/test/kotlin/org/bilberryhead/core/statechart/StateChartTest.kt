package org.bilberryhead.core.statechart

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.execution.AttemptChart
import org.bilberryhead.core.execution.AttemptState
import org.bilberryhead.core.gate.SidecarChart
import org.bilberryhead.core.gate.SidecarState

class StateChartTest :
    DescribeSpec({
        describe("the attempt chart") {
            it("reaches every state") {
                AttemptChart.chart.reachableStates() shouldBe AttemptState.entries.toSet()
            }
        }
        describe("the sidecar chart") {
            it("reaches every state") {
                SidecarChart.chart.reachableStates() shouldBe SidecarState.entries.toSet()
            }
        }
    })
