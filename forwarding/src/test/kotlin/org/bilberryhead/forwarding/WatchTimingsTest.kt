package org.bilberryhead.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.bilberryhead.forwarding.store.WatchTimings
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class WatchTimingsTest :
    DescribeSpec({
        describe("the watch of endpoints") {
            it("makes two calls within the notice of an endpoint that leaves") {
                for (notice in listOf(500.milliseconds, 2.seconds, 4.seconds, 30.seconds)) {
                    WatchTimings.forEndpoints(notice).delayBetweenCalls * 2 shouldBeLessThan notice
                }
            }

            it("makes the second call beside a slow one so early that a tenth of the notice is left") {
                for (notice in listOf(500.milliseconds, 2.seconds, 4.seconds, 30.seconds)) {
                    val timings = WatchTimings.forEndpoints(notice)
                    timings.delayBetweenCalls + timings.hedgeDelay shouldBeLessThan notice * 0.9
                }
            }

            it("takes a silence for an outage after longer than a sound store is silent, and before rows expire") {
                val timings = WatchTimings.forEndpoints(2.seconds)
                1.5.seconds shouldBeLessThan timings.outageSilence
                // Endpoints renew their rows every 1.2 s, and a row lasts for three of these times.
                timings.outageSilence shouldBeLessThan 1.2.seconds * 2
            }

            it("makes two calls in the time in which endpoints register again after an outage") {
                for (notice in listOf(500.milliseconds, 2.seconds, 4.seconds, 30.seconds)) {
                    val timings = WatchTimings.forEndpoints(notice)
                    timings.catchUpTime shouldBe 2.seconds
                    // EndpointDirectory drops an endpoint 1.8 s after the outage.
                    timings.delayAfterRead * 2 shouldBeLessThan 1.8.seconds
                }
            }

            it("makes fewer calls where the notice is longer, so that 300 entries make less than 170 a second") {
                val callsPerSecond = 300 * (1.seconds / WatchTimings.forEndpoints(4.seconds).delayBetweenCalls)
                callsPerSecond shouldBeLessThan 170.0
            }
        }

        describe("the watch of the configuration") {
            it("waits for a change no longer than the change may take, as the connection may have gone silent") {
                WatchTimings.forConfiguration(4.seconds).longPollTimeout shouldBe 4.seconds
            }
        }
    })
