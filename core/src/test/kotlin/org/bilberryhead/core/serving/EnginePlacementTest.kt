package org.bilberryhead.core.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.bilberryhead.core.common.DataCentre
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class EnginePlacementTest :
    DescribeSpec({
        val now = Instant.fromEpochSeconds(1_000)
        val engines = List(6) { endpointEntry("engine-$it", dataCentre = if (it < 3) "x" else "y") }

        fun prompt(document: String) = Prompt(
            listOf(
                PromptPart(PromptPartId("all"), 500),
                PromptPart(PromptPartId(document), 4_000),
                PromptPart(PromptPartId("own"), 100),
            ),
            inputTokens = 4_600,
            outputTokens = 100,
        )

        fun loads() = engines.associateWith { EngineLoad(EngineCapacity(slots = 48, memoryTokens = 500_000)) }

        fun choose(
            loads: Map<EndpointEntry, EngineLoad>,
            document: String,
            from: String = "x",
            inputLocation: DataCentre? = null,
        ): EndpointEntry = checkNotNull(
            EnginePlacement(DataCentre(from))
                .choose(engines, prompt(document), loads::getValue, inputLocation, now),
        )

        describe("a prompt with a shared part") {
            it("goes to the same engine from every entry") {
                for (document in listOf("a", "b", "c", "d")) {
                    choose(loads(), document, from = "x") shouldBe choose(loads(), document, from = "y")
                }
            }

            it("goes to another engine when its preferred engine is much busier") {
                val loads = loads()
                val preferred = choose(loads, "a")
                repeat(10) { loads.getValue(preferred).start(prompt("other-$it"), now) }
                choose(loads, "a") shouldNotBe preferred
            }

            it("goes to another engine when its preferred engine has failed") {
                val loads = loads()
                val preferred = choose(loads, "a")
                val load = loads.getValue(preferred)
                repeat(3) { load.recordEnd(load.start(prompt("x$it"), now), failed = true) }
                choose(loads, "a") shouldNotBe preferred
            }
        }

        describe("the load of many prompts") {
            it("is distributed so that no engine gets three times its equal share") {
                val loads = loads()
                val chosen = List(300) { number ->
                    choose(loads, "document-${number % 60}").also {
                        loads.getValue(it).start(prompt("document-${number % 60}"), now)
                    }
                }
                chosen.groupingBy { it }.eachCount().values.max() shouldBeLessThan 150
            }
        }

        describe("the estimate of the load of an engine") {
            val load = EngineLoad(EngineCapacity(slots = 48, memoryTokens = 500_000))

            it("counts a part as cached only when all parts before it are cached") {
                load.prefillTokens(prompt("a"), now) shouldBe 4_600
                load.recordEnd(load.start(prompt("a"), now), failed = false)
                load.prefillTokens(prompt("a"), now + 1.seconds) shouldBe 0
                load.prefillTokens(prompt("b"), now + 1.seconds) shouldBe 4_100
                load.prefillTokens(prompt("a"), now + 60.seconds) shouldBe 4_600
            }

            it("treats an engine as slow while a request is still waiting for its first event") {
                val slow = EngineLoad(EngineCapacity(slots = 48, memoryTokens = 500_000))
                slow.start(prompt("a"), now)
                (slow.expectedTimeToFirstEvent(10, now + 4.seconds) >= 2_000.milliseconds) shouldBe true
            }
        }
    })
