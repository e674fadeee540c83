package org.bilberryhead.core.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class InputReleaseTest :
    DescribeSpec({
        val now = Instant.fromEpochSeconds(1_000)

        fun pieces(request: String, count: Int, readers: Int) = List(count) {
            stagePiece(request, it, now).copy(inputs = listOf(ResultHandle("of $request")), readers = readers)
        }

        fun InputRelease.handles(call: List<StagePiece>, at: Instant = now) = lastRead(call, at).map { it.value }

        describe("the inputs of a call") {
            it("are read for the last time when all their readers are in it") {
                InputRelease().handles(pieces("a", 2, readers = 2) + pieces("b", 1, readers = 1))
                    .shouldContainExactlyInAnyOrder("of a", "of b")
            }

            it("are read again when a reader is in another call") {
                InputRelease().handles(pieces("a", 2, readers = 3)).shouldBeEmpty()
            }

            it("may be read again when other stages read them too") {
                InputRelease().handles(pieces("a", 2, readers = 0)).shouldBeEmpty()
            }

            it("are held for a while after an endpoint has missed some") {
                val release = InputRelease()
                release.inputsMissed(now)
                release.handles(pieces("a", 1, readers = 1), now + 1.seconds).shouldBeEmpty()
                release.handles(pieces("a", 1, readers = 1), now + 6.seconds) shouldContainExactlyInAnyOrder
                    listOf("of a")
            }
        }
    })
