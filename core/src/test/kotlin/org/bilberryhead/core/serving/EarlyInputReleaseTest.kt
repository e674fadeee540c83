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

        fun releaseAfterCallEnd() = EarlyInputRelease().also { it.recordCallEnd(endpoint, mayHaveQueued = false, now) }

        fun EarlyInputRelease.releasable(call: List<StagePiece>, at: Instant = now) =
            releasableInputs(call, endpoint, at).map { it.value }

        describe("the inputs of a call") {
            it("can be released when all their readers are in the call") {
                releaseAfterCallEnd().releasable(pieces("a", 2, readers = 2) + pieces("b", 1, readers = 1))
                    .shouldContainExactlyInAnyOrder("of a", "of b")
            }

            it("are kept when a reader is in another call") {
                releaseAfterCallEnd().releasable(pieces("a", 2, readers = 3)).shouldBeEmpty()
            }

            it("are kept when other stages may read them") {
                releaseAfterCallEnd().releasable(pieces("a", 2, readers = 0)).shouldBeEmpty()
            }

            it("are kept when other coordinators may have calls at the endpoint") {
                val call = pieces("a", 1, readers = 1)
                EarlyInputRelease().releasable(call).shouldBeEmpty()
                val release = releaseAfterCallEnd()
                release.releasable(call, now + 3.seconds).shouldBeEmpty()
                release.recordCallEnd(endpoint, mayHaveQueued = true, now)
                release.releasable(call).shouldBeEmpty()
            }

            it("are kept for a while after an endpoint did not find released inputs") {
                val release = releaseAfterCallEnd()
                release.recordMissingInputs(now)
                release.releasable(pieces("a", 1, readers = 1), now + 1.seconds).shouldBeEmpty()
                release.recordCallEnd(endpoint, mayHaveQueued = false, now + 5.seconds)
                release.releasable(pieces("a", 1, readers = 1), now + 6.seconds) shouldContainExactlyInAnyOrder
                    listOf("of a")
            }
        }
    })
