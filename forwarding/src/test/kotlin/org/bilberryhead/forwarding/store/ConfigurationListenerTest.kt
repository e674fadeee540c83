package org.bilberryhead.forwarding.store

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.forwarding.LoopbackDeployment
import kotlin.time.Instant

class ConfigurationListenerTest :
    DescribeSpec({
        describe("a configuration that could not be put in force") {
            it("is put in force when it is read again, and is passed to no other entry before") {
                var fails = true
                val versions = mutableListOf<Long>()
                val decisions = DecisionLog(linesPerSecond = 10) { Instant.fromEpochMilliseconds(0) }
                val listener = ConfigurationListener(decisions) {
                    if (fails) throw OutOfMemoryError("test")
                    versions += it.configuration.version
                }
                shouldThrow<OutOfMemoryError> { listener.activateIfNewer(LoopbackDeployment.CONFIGURATION) }
                listener.newestText shouldBe null
                fails = false
                listener.activateIfNewer(LoopbackDeployment.CONFIGURATION)
                versions shouldBe listOf(1L)
                listener.newestText shouldBe LoopbackDeployment.CONFIGURATION
            }
        }
    })
