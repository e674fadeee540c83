package org.bilberryhead.load.policy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe

class PolicyTargetsTest :
    DescribeSpec({
        fun experiment(scenario: Scenario, factor: Double) = PolicyExperiment(
            listOf(Deployment.VIJVERKRUID),
            listOf(scenario),
            listOf(factor),
            seeds = 1..1,
            threads = 1,
        ).run { }

        fun missed(lines: List<ReportLine>) = TargetCheck(lines).results().filter { !it.isMet }

        describe("the policies in virtual time") {
            it("give the same result for the same seed") {
                val plan = RunPlan(Deployment.VIJVERKRUID, Scenario.SPEEDS, loadFactor = 0.5, seed = 3)
                val contender = Contender.predicted("predicted", objective = null)
                PolicyRun(plan, contender).run() shouldBe PolicyRun(plan, contender).run()
            }

            it("meet their targets with a straggler at load 0.8") {
                missed(experiment(Scenario.STRAGGLER, factor = 0.8)).shouldBeEmpty()
            }

            it("keep goodput and waste little at load 2.0") {
                missed(experiment(Scenario.SPEEDS, factor = 2.0)).shouldBeEmpty()
            }
        }
    })
