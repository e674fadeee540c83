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

        fun prompt(thing: String) = Prompt(
            listOf(
                PromptPart(PromptPartId("all"), 500),
                PromptPart(PromptPartId(thing), 4_000),
                PromptPart(PromptPartId("own"), 100),
            ),
            inputTokens = 4_600,
            outputTokens = 100,
        )

        fun books() = engines.associateWith { EngineLoad(EngineCapacity(slots = 48, memoryTokens = 500_000)) }

        fun choose(
            books: Map<EndpointEntry, EngineLoad>,
            thing: String,
            from: String = "x",
            near: DataCentre? = null,
        ): EndpointEntry =
            checkNotNull(EnginePlacement(DataCentre(from)).choose(engines, prompt(thing), books::getValue, near, now))

        describe("a prompt with a shared part") {
            it("goes to the same engine from every entry") {
                for (thing in listOf("a", "b", "c", "d")) {
                    choose(books(), thing, from = "x") shouldBe choose(books(), thing, from = "y")
                }
            }

            it("leaves its engine for another when that one is much busier") {
                val books = books()
                val home = choose(books, "a")
                repeat(10) { books.getValue(home).begin(prompt("other-$it"), now) }
                choose(books, "a") shouldNotBe home
            }

            it("leaves an engine that failed") {
                val books = books()
                val home = choose(books, "a")
                val book = books.getValue(home)
                repeat(3) { book.end(book.begin(prompt("x$it"), now), failed = true) }
                choose(books, "a") shouldNotBe home
            }
        }

        describe("the load of many prompts") {
            it("is spread so that no engine has more than three times its part") {
                val books = books()
                val chosen = List(300) { number ->
                    choose(books, "thing-${number % 60}").also {
                        books.getValue(it).begin(prompt("thing-${number % 60}"), now)
                    }
                }
                chosen.groupingBy { it }.eachCount().values.max() shouldBeLessThan 150
            }
        }

        describe("what is known of an engine") {
            val book = EngineLoad(EngineCapacity(slots = 48, memoryTokens = 500_000))

            it("counts parts as held only while all parts before them are") {
                book.prefillTokens(prompt("a"), now) shouldBe 4_600
                book.end(book.begin(prompt("a"), now), failed = false)
                book.prefillTokens(prompt("a"), now + 1.seconds) shouldBe 0
                book.prefillTokens(prompt("b"), now + 1.seconds) shouldBe 4_100
                book.prefillTokens(prompt("a"), now + 60.seconds) shouldBe 4_600
            }

            it("learns that an engine is slow from the wait that is still going on") {
                val slow = EngineLoad(EngineCapacity(slots = 48, memoryTokens = 500_000))
                slow.begin(prompt("a"), now)
                (slow.expectedTimeToFirstEvent(10, now + 4.seconds) >= 2_000.milliseconds) shouldBe true
            }
        }
    })
