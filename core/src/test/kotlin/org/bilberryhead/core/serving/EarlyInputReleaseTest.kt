package org.bilberryhead.core.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import org.bilberryhead.core.common.EndpointId
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class EarlyInputReleaseTest :
    DescribeSpec({
        val now = Instant.fromEpochSeconds(1_000)

        fun pieces(request: String, count: Int, readers: Int) = List(count) {
            stagePiece(request, it, now).copy(inputs = listOf(ResultHandle("of $request")), readers = readers)
        }

        val endpoint = EndpointId("reader")

        fun release() = EarlyInputRelease().also { it.recordCallEnd(endpoint, mayHaveQueued = false, now) }

        fun EarlyInputRelease.handles(call: List<StagePiece>, at: Instant = now) =
            releasableInputs(call, endpoint, at).map { it.value }

        describe("the inputs of a call") {
            it("are read for the last time when all their readers are in it") {
                release().handles(pieces("a", 2, readers = 2) + pieces("b", 1, readers = 1))
                    .shouldContainExactlyInAnyOrder("of a", "of b")
            }

            it("are read again when a reader is in another call") {
                release().handles(pieces("a", 2, readers = 3)).shouldBeEmpty()
            }

            it("may be read again when other stages read them too") {
                release().handles(pieces("a", 2, readers = 0)).shouldBeEmpty()
            }

            it("are held at an endpoint where others may have calls") {
                val call = pieces("a", 1, readers = 1)
                EarlyInputRelease().handles(call).shouldBeEmpty()
                val release = release()
                release.handles(call, now + 3.seconds).shouldBeEmpty()
                release.recordCallEnd(endpoint, mayHaveQueued = true, now)
                release.handles(call).shouldBeEmpty()
            }

            it("are held for a while after an endpoint has missed some") {
                val release = release()
                release.recordMissingInputs(now)
                release.handles(pieces("a", 1, readers = 1), now + 1.seconds).shouldBeEmpty()
                release.recordCallEnd(endpoint, mayHaveQueued = false, now + 5.seconds)
                release.handles(pieces("a", 1, readers = 1), now + 6.seconds) shouldContainExactlyInAnyOrder
                    listOf("of a")
            }
        }
    })
