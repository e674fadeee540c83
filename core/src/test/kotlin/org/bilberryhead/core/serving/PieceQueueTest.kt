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

private const val MOST = 4

class PieceQueueTest :
    DescribeSpec({
        val now = Instant.fromEpochSeconds(1_000)
        val here = DataCentre("x")

        fun PieceQueue.batch(room: Long = 10_000, most: Int = MOST) =
            takeBatch(now, most, room, here).map { it.request.value }

        fun request(name: String, pieces: Int, latestStart: Instant, resultBytes: Long = 100) =
            List(pieces) { stagePiece(name, it, latestStart, resultBytes = resultBytes) }

        describe("a call") {
            it("takes the requests that must start first, and those that are late last") {
                val queue = PieceQueue()
                queue.add(request("late", 1, now - 1.seconds), now)
                queue.add(request("second", 1, now + 2.seconds), now)
                queue.add(request("first", 1, now + 1.seconds), now)
                queue.batch(most = 2) shouldContainExactly listOf("first", "second")
                queue.batch(most = 2) shouldContainExactly listOf("late")
            }

            it("gives the more urgent a head start") {
                val queue = PieceQueue()
                queue.add(listOf(stagePiece("plain", latestStart = now + 1.seconds, priority = 2)), now)
                queue.add(listOf(stagePiece("urgent", latestStart = now + 1_200.milliseconds, priority = 0)), now)
                queue.batch(most = 1) shouldContainExactly listOf("urgent")
            }

            it("keeps the pieces of a request together and fills up with one that fits") {
                val queue = PieceQueue()
                queue.add(request("a", 3, now + 1.seconds), now)
                queue.add(request("b", 3, now + 2.seconds), now)
                queue.add(request("c", 1, now + 3.seconds), now)
                queue.batch() shouldContainExactlyInAnyOrder listOf("a", "a", "a", "c")
                queue.size shouldBe 3
            }

            it("divides a request that fits into no call as a whole") {
                val queue = PieceQueue()
                queue.add(request("a", 6, now + 1.seconds), now)
                queue.batch().size shouldBe 4
                queue.batch().size shouldBe 2
            }

            it("takes no more results than there is room for") {
                val queue = PieceQueue()
                queue.add(request("a", 2, now + 1.seconds, resultBytes = 400), now)
                queue.add(request("b", 2, now + 2.seconds, resultBytes = 400), now)
                queue.batch(room = 1_000) shouldContainExactly listOf("a", "a")
            }
        }

        describe("a call to an endpoint without room for the first request") {
            it("takes requests whose results need next to no room") {
                val queue = PieceQueue()
                queue.add(request("large", 2, now + 1.seconds, resultBytes = 400), now)
                queue.add(request("small", 2, now + 2.seconds, resultBytes = 10), now)
                queue.takeBatch(now, MOST, freeBytes = 500, here, smallBytes = 20)
                    .map { it.request.value } shouldContainExactly listOf("small", "small")
                queue.takeBatch(now, MOST, freeBytes = 500, here, smallBytes = 20).shouldBeEmpty()
                queue.size shouldBe 2
            }
        }

        describe("a piece with a preferred data centre") {
            it("waits for it a little, and then goes anywhere") {
                val queue = PieceQueue()
                queue.add(listOf(stagePiece("far", latestStart = now + 1.seconds, preferred = "y")), now)
                queue.batch().shouldBeEmpty()
                queue.takeBatch(now + 200.milliseconds, MOST, 1_000, here).size shouldBe 1
            }

            it("goes before others in that data centre") {
                val queue = PieceQueue()
                val earlier = now - 1.seconds
                queue.add(listOf(stagePiece("far", latestStart = now + 1.seconds, preferred = "y")), earlier)
                queue.add(listOf(stagePiece("near", latestStart = now + 1_100.milliseconds, preferred = "x")), earlier)
                queue.batch(most = 1) shouldContainExactly listOf("near")
            }
        }

        describe("pieces that are of no use") {
            it("leave when their request can not be served any more") {
                val queue = PieceQueue()
                queue.add(listOf(stagePiece("a", latestStart = now - 2.seconds, latestUsefulStart = now)), now)
                queue.takeUnservable(now, perSecond = 100.0).size shouldBe 1
                queue.size shouldBe 0
            }

            it("leave when what is ahead of them takes too long, those ahead stay") {
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

            it("leave with their request") {
                val queue = PieceQueue()
                queue.add(request("a", 2, now), now)
                queue.drop(RequestId("a"))
                queue.size shouldBe 0
            }
        }
    })
