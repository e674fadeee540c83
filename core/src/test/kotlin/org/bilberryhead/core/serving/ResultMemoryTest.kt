package org.bilberryhead.core.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.EndpointId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class ResultMemoryTest :
    DescribeSpec({
        val now = Instant.fromEpochSeconds(1_000)
        val endpoint = EndpointId("a")

        fun memory() = ResultMemory(capacityBytes = 1_000.0, lifetime = 4.seconds)

        describe("the result memory of an endpoint") {
            it("is used by reservations and by stored results") {
                val memory = memory()
                val initialFreeBytes = memory.freeBytes(endpoint, now)
                memory.reserve(endpoint, 300)
                memory.freeBytes(endpoint, now) shouldBe initialFreeBytes - 300
                memory.endReservation(endpoint, 300, storedBytes = 300, isMemoryFull = false)
                memory.add(ResultHandle("r"), endpoint, 300, now)
                memory.freeBytes(endpoint, now) shouldBe initialFreeBytes - 300
                memory.recordRelease(ResultHandle("r"), now)
                memory.freeBytes(endpoint, now) shouldBe initialFreeBytes
            }

            it("is free again when the retention of an unreleased result ends") {
                val memory = memory()
                memory.add(ResultHandle("r"), endpoint, 300, now)
                memory.isUnused(endpoint) shouldBe false
                memory.freeBytes(endpoint, now + 4.seconds)
                memory.isUnused(endpoint) shouldBe true
            }

            it("limits the size of calls by how long results are kept") {
                val profile = pieceProfile(batchSize = 40, resultMemoryBytes = 7_200.0, timePerPiece = 5.milliseconds)
                fun batchAfter(holdTime: Duration): Int {
                    val memory = ResultMemory(profile.resultMemoryBytes, profile.resultRetention)
                    repeat(300) {
                        memory.add(ResultHandle("$it"), endpoint, 100, now)
                        memory.recordRelease(ResultHandle("$it"), now + holdTime)
                    }
                    return memory.maximumBatchSize(profile, bytesPerPiece = 100)
                }
                batchAfter(100.milliseconds) shouldBe 40
                (batchAfter(600.milliseconds) in 22..28) shouldBe true
                batchAfter(2.seconds) shouldBeLessThan 15
            }

            it("is assumed to be as small as the stored results when a piece found no memory, and then grows") {
                val memory = memory()
                memory.reserve(endpoint, 600)
                memory.endReservation(endpoint, 600, storedBytes = 400, isMemoryFull = true)
                memory.freeBytes(endpoint, now) shouldBe 400
                repeat(2) { memory.endReservation(endpoint, 0, storedBytes = 0, isMemoryFull = false) }
                memory.freeBytes(endpoint, now) shouldBe 560
            }
        }
    })

class PieceEndpointChooserTest :
    DescribeSpec({
        val now = Instant.fromEpochSeconds(1_000)
        val near = endpointEntry("near", dataCentre = "x")
        val far = endpointEntry("far", dataCentre = "y")
        val both = listOf(far, near)

        fun PieceEndpointChooser.choose(preferred: String? = "x") = choose(both, preferred?.let(::DataCentre), now) {
            true
        }

        describe("the endpoint of a call") {
            it("is in the preferred data centre while an endpoint is free there") {
                val chooser = PieceEndpointChooser(pieceProfile())
                chooser.choose() shouldBe near
                chooser.recordCallStart(near.id)
                chooser.choose() shouldBe far
                chooser.recordCallStart(far.id)
                chooser.choose() shouldBe null
            }

            it("is one with enough memory for the results") {
                PieceEndpointChooser(pieceProfile()).choose(both, DataCentre("x"), now) { it == far.id } shouldBe far
            }

            it("is not one that has just failed") {
                val chooser = PieceEndpointChooser(pieceProfile())
                chooser.recordCallStart(near.id)
                chooser.recordCallEnd(near.id, failed = true, slowdown = 1.0, now)
                chooser.choose() shouldBe far
                chooser.choose(both, DataCentre("x"), now + 2.seconds) { true } shouldBe near
            }

            it("is not one that has become much slower") {
                val chooser = PieceEndpointChooser(pieceProfile())
                repeat(5) {
                    chooser.recordCallStart(near.id)
                    chooser.recordCallEnd(near.id, failed = false, slowdown = 4.0, now)
                }
                chooser.choose() shouldBe far
            }
        }

        describe("the expected time of a call") {
            it("converges to the time that calls to a slow endpoint take") {
                val chooser = PieceEndpointChooser(pieceProfile())
                repeat(40) {
                    chooser.recordCallStart(near.id)
                    val slowdown = chooser.nominalCallTime(pieces = 4) * 4 / chooser.nominalCallTime(pieces = 4)
                    chooser.recordCallEnd(near.id, failed = false, slowdown, now)
                }
                (
                    chooser.expectedCallTime(
                        near.id,
                        pieces = 4,
                    ) / chooser.nominalCallTime(pieces = 4) in 3.9..4.1
                    ) shouldBe
                    true
            }

            it("grows with its pieces and with the slowdown of the endpoint") {
                val chooser = PieceEndpointChooser(pieceProfile())
                chooser.expectedCallTime(near.id, pieces = 4) shouldBe 280.milliseconds
                chooser.recordCallStart(near.id)
                chooser.recordCallEnd(near.id, failed = false, slowdown = 2.0, now)
                chooser.expectedCallTime(near.id, pieces = 4) shouldBeGreaterThan 280.milliseconds
            }
        }
    })
