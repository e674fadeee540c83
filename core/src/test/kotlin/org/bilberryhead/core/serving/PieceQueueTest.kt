package org.bilberryhead.core.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.RequestId
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private const val MAXIMUM_PIECES = 4

class PieceQueueTest :
    DescribeSpec({
        val now = Instant.fromEpochSeconds(1_000)
        val localDataCentre = DataCentre("x")

        fun PieceQueue.batch(freeBytes: Long = 10_000, maximumPieces: Int = MAXIMUM_PIECES) =
            takeBatch(now, maximumPieces, freeBytes, localDataCentre).map { it.request.value }

        fun request(name: String, pieces: Int, latestStart: Instant, resultBytes: Long = 100) =
            List(pieces) { stagePiece(name, it, latestStart, resultBytes = resultBytes) }

        describe("a call") {
            it("takes requests in order of their latest start, and late ones last") {
                val queue = PieceQueue()
                queue.add(request("late", 1, now - 1.seconds), now)
                queue.add(request("second", 1, now + 2.seconds), now)
                queue.add(request("first", 1, now + 1.seconds), now)
                queue.batch(maximumPieces = 2) shouldContainExactly listOf("first", "second")
                queue.batch(maximumPieces = 2) shouldContainExactly listOf("late")
            }

            it("takes a request of higher priority before one that must start slightly earlier") {
                val queue = PieceQueue()
                queue.add(listOf(stagePiece("plain", latestStart = now + 1.seconds, priority = 2)), now)
                queue.add(listOf(stagePiece("urgent", latestStart = now + 1_200.milliseconds, priority = 0)), now)
                queue.batch(maximumPieces = 1) shouldContainExactly listOf("urgent")
            }

            it("keeps the pieces of a request together and fills the remaining places with a request that fits") {
                val queue = PieceQueue()
                queue.add(request("a", 3, now + 1.seconds), now)
                queue.add(request("b", 3, now + 2.seconds), now)
                queue.add(request("c", 1, now + 3.seconds), now)
                queue.batch() shouldContainExactlyInAnyOrder listOf("a", "a", "a", "c")
                queue.size shouldBe 3
            }

            it("divides a request that has more pieces than a call may have") {
                val queue = PieceQueue()
                queue.add(request("a", 6, now + 1.seconds), now)
                queue.batch().size shouldBe 4
                queue.batch().size shouldBe 2
            }

            it("takes no more pieces than the endpoint has memory for") {
                val queue = PieceQueue()
                queue.add(request("a", 2, now + 1.seconds, resultBytes = 400), now)
                queue.add(request("b", 2, now + 2.seconds, resultBytes = 400), now)
                queue.batch(freeBytes = 1_000) shouldContainExactly listOf("a", "a")
            }
        }

        describe("a call to an endpoint without enough memory for the first request") {
            it("takes requests whose results need little memory") {
                val queue = PieceQueue()
                queue.add(request("large", 2, now + 1.seconds, resultBytes = 400), now)
                queue.add(request("small", 2, now + 2.seconds, resultBytes = 10), now)
                queue.takeBatch(now, MAXIMUM_PIECES, freeBytes = 500, localDataCentre, maximumRequestBytes = 20)
                    .map { it.request.value } shouldContainExactly listOf("small", "small")
                queue.takeBatch(now, MAXIMUM_PIECES, freeBytes = 500, localDataCentre, maximumRequestBytes = 20)
                    .shouldBeEmpty()
                queue.size shouldBe 2
            }
        }

        describe("a piece with a preferred data centre") {
            it("waits for a short time, and then goes to any data centre") {
                val queue = PieceQueue()
                queue.add(listOf(stagePiece("far", latestStart = now + 1.seconds, preferred = "y")), now)
                queue.batch().shouldBeEmpty()
                queue.takeBatch(now + 200.milliseconds, MAXIMUM_PIECES, 1_000, localDataCentre).size shouldBe 1
            }

            it("comes before others in that data centre") {
                val queue = PieceQueue()
                val earlier = now - 1.seconds
                queue.add(listOf(stagePiece("far", latestStart = now + 1.seconds, preferred = "y")), earlier)
                queue.add(listOf(stagePiece("near", latestStart = now + 1_100.milliseconds, preferred = "x")), earlier)
                queue.batch(maximumPieces = 1) shouldContainExactly listOf("near")
            }
        }

        describe("pieces that cannot be processed in time") {
            it("are removed when their latest useful start has passed") {
                val queue = PieceQueue()
                queue.add(listOf(stagePiece("a", latestStart = now - 2.seconds, latestUsefulStart = now)), now)
                queue.takeUnservable(now, perSecond = 100.0).size shouldBe 1
                queue.size shouldBe 0
            }

            it("are removed when the pieces before them take too long, and those pieces stay") {
                val queue = PieceQueue()
                queue.add(request("ahead", 20, now + 100.milliseconds), now)
                queue.add(
                    listOf(stagePiece("behind", latestStart = now + 1.seconds, latestUsefulStart = now + 1.seconds)),
                    now,
                )
                queue.takeUnservable(now, perSecond = 100.0).shouldBeEmpty()
                queue.takeUnservable(now, perSecond = 10.0)
                    .map { it.request.value } shouldContainExactly listOf("behind")
                queue.size shouldBe 20
            }

            it("are removed when their request is dropped") {
                val queue = PieceQueue()
                queue.add(request("a", 2, now), now)
                queue.drop(RequestId("a"))
                queue.size shouldBe 0
            }
        }
    })
