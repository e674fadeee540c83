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
        val maker = EndpointId("a")

        fun room() = ResultMemory(resultMemoryBytes = 1_000.0, resultRetention = 4.seconds)

        describe("the room at an endpoint") {
            it("is taken by what is asked for and by what lies there") {
                val room = room()
                val whole = room.freeBytes(maker, now)
                room.reserve(maker, 300)
                room.freeBytes(maker, now) shouldBe whole - 300
                room.endReservation(maker, 300, madeBytes = 300, isMemoryFull = false)
                room.add(ResultHandle("r"), maker, 300, now)
                room.freeBytes(maker, now) shouldBe whole - 300
                room.recordRelease(ResultHandle("r"), now)
                room.freeBytes(maker, now) shouldBe whole
            }

            it("is free again when the endpoint drops a result that nobody gave up") {
                val room = room()
                room.add(ResultHandle("r"), maker, 300, now)
                room.isUnused(maker) shouldBe false
                room.freeBytes(maker, now + 4.seconds)
                room.isUnused(maker) shouldBe true
            }

            it("bounds the size of calls by how long results are held") {
                val shape = pieceShape(batchSize = 40, resultMemoryBytes = 7_200.0, timePerPiece = 5.milliseconds)
                fun batchAfter(hold: Duration): Int {
                    val room = ResultMemory(shape.resultMemoryBytes, shape.resultRetention)
                    repeat(300) {
                        room.add(ResultHandle("$it"), maker, 100, now)
                        room.recordRelease(ResultHandle("$it"), now + hold)
                    }
                    return room.maximumBatchSize(shape, bytesPerPiece = 100)
                }
                batchAfter(100.milliseconds) shouldBe 40
                (batchAfter(600.milliseconds) in 22..28) shouldBe true
                batchAfter(2.seconds) shouldBeLessThan 15
            }

            it("shrinks to what fitted when a piece found none, and grows again") {
                val room = room()
                room.reserve(maker, 600)
                room.endReservation(maker, 600, madeBytes = 400, isMemoryFull = true)
                room.freeBytes(maker, now) shouldBe 400
                repeat(2) { room.endReservation(maker, 0, madeBytes = 0, isMemoryFull = false) }
                room.freeBytes(maker, now) shouldBe 560
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
            it("is in the preferred data centre while it has a free place there") {
                val chooser = PieceEndpointChooser(pieceShape())
                chooser.choose() shouldBe near
                chooser.begin(near.id)
                chooser.choose() shouldBe far
                chooser.begin(far.id)
                chooser.choose() shouldBe null
            }

            it("is one with room for the results") {
                PieceEndpointChooser(pieceShape()).choose(both, DataCentre("x"), now) { it == far.id } shouldBe far
            }

            it("is not one that has just failed") {
                val chooser = PieceEndpointChooser(pieceShape())
                chooser.begin(near.id)
                chooser.end(near.id, failed = true, slowdown = 1.0, now)
                chooser.choose() shouldBe far
                chooser.choose(both, DataCentre("x"), now + 2.seconds) { true } shouldBe near
            }

            it("is not one that has become much slower") {
                val chooser = PieceEndpointChooser(pieceShape())
                repeat(5) {
                    chooser.begin(near.id)
                    chooser.end(near.id, failed = false, slowdown = 4.0, now)
                }
                chooser.choose() shouldBe far
            }
        }

        describe("the expected time of a call") {
            it("becomes what calls to a slow endpoint take") {
                val chooser = PieceEndpointChooser(pieceShape())
                repeat(40) {
                    chooser.begin(near.id)
                    val slowdown = chooser.nominalCallTime(pieces = 4) * 4 / chooser.nominalCallTime(pieces = 4)
                    chooser.end(near.id, failed = false, slowdown, now)
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
                val chooser = PieceEndpointChooser(pieceShape())
                chooser.expectedCallTime(near.id, pieces = 4) shouldBe 280.milliseconds
                chooser.begin(near.id)
                chooser.end(near.id, failed = false, slowdown = 2.0, now)
                chooser.expectedCallTime(near.id, pieces = 4) shouldBeGreaterThan 280.milliseconds
            }
        }
    })
