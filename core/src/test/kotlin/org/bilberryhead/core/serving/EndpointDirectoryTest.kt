package org.bilberryhead.core.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.PoolName
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class EndpointDirectoryTest :
    DescribeSpec({
        val start = Instant.fromEpochSeconds(1_000)
        val pool = PoolName("p")

        fun EndpointDirectory.usableIds() = usable(pool).map { it.id.value }

        describe("endpoints with an entry in the store") {
            it("are usable from their registration until they drain") {
                val directory = EndpointDirectory()
                directory.replaceAll(listOf(endpointEntry("a"), endpointEntry("b")), start)
                directory.usableIds() shouldContainExactly listOf("a", "b")
                directory.update(listOf(endpointEntry("a", isDraining = true)), emptyList(), start)
                    .shouldContainExactly(EndpointChange.Draining(EndpointId("a")))
                directory.usableIds() shouldContainExactly listOf("b")
            }

            it("are dropped at once when their entry is removed without an outage of the store") {
                val directory = EndpointDirectory()
                directory.replaceAll(listOf(endpointEntry("a")), start)
                directory.update(emptyList(), listOf(EndpointId("a")), start)
                    .shouldContainExactly(EndpointChange.Gone(EndpointId("a")))
                directory.usableIds().shouldBeEmpty()
            }

            it("count as new when they restart under the same id") {
                val directory = EndpointDirectory()
                directory.replaceAll(listOf(endpointEntry("a", startedAt = 1)), start)
                val restarted = endpointEntry("a", startedAt = 2)
                directory.update(listOf(restarted), emptyList(), start)
                    .shouldContainExactly(EndpointChange.Appeared(restarted))
            }
        }

        describe("endpoints in an evacuated data centre") {
            val north = DataCentre("north")
            val entries = listOf(endpointEntry("a", dataCentre = "north"), endpointEntry("b", dataCentre = "south"))

            it("are not usable until the evacuation is withdrawn, and stay registered") {
                val directory = EndpointDirectory().apply { replaceAll(entries, start) }
                directory.evacuated = setOf(north)
                directory.usableIds() shouldContainExactly listOf("b")
                directory.entry(EndpointId("a")) shouldBe entries.first()
                directory.evacuatedCount shouldBe 1
                directory.evacuated = emptySet()
                directory.usableIds() shouldContainExactly listOf("a", "b")
            }

            it("are not usable when they register or restart during the evacuation") {
                val directory = EndpointDirectory()
                directory.evacuated = setOf(north)
                directory.replaceAll(entries, start)
                directory.update(listOf(entries.first().copy(startedAt = 2)), emptyList(), start)
                directory.usableIds() shouldContainExactly listOf("b")
            }
        }

        describe("after an outage of the store") {
            fun afterOutage() = EndpointDirectory().apply {
                replaceAll(listOf(endpointEntry("a"), endpointEntry("b", isDraining = true)), start)
                recordStoreRecovery(start + 10.seconds)
                replaceAll(emptyList(), start + 10.seconds)
            }

            it("endpoints whose entry expired stay in use until the time to register again is over") {
                val directory = afterOutage()
                directory.usableIds() shouldContainExactly listOf("a")
                directory.dropExpired(start + 11.seconds).shouldBeEmpty()
                directory.dropExpired(start + 12.seconds).shouldContainExactly(EndpointChange.Gone(EndpointId("a")))
                directory.usableIds().shouldBeEmpty()
            }

            it("endpoints that register again in time stay in use") {
                val directory = afterOutage()
                directory.update(listOf(endpointEntry("a")), emptyList(), start + 11.seconds)
                directory.dropExpired(start + 13.seconds).shouldBeEmpty()
                directory.usableIds() shouldContainExactly listOf("a")
            }

            it("endpoints that were draining are dropped at once") {
                afterOutage().entry(EndpointId("b")) shouldBe null
            }
        }
    })
