package org.bilberryhead.forwarding

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EventThreadTest :
    DescribeSpec({
        val thread = newEventThread()
        afterSpec { thread.loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS) }

        fun recurse(depth: Int): Int = 1 + recurse(depth + 1)

        describe("an action that fails unexpectedly") {
            it("is counted, and goes no further") {
                val before = thread.failureCount
                thread.runGuarded("test") { error("unexpected") } shouldBe false
                thread.runGuarded("test") { recurse(0) } shouldBe false
                thread.runGuarded("test") {} shouldBe true
                thread.failureCount shouldBe before + 2
            }

            it("is counted, and goes no further when memory or a class is missing") {
                val before = thread.failureCount
                thread.runGuarded("test") { throw OutOfMemoryError("test") } shouldBe false
                thread.runGuarded("test") { throw NoClassDefFoundError("test") } shouldBe false
                thread.failureCount shouldBe before + 2
            }

            it("is run again when it is repeated after a lack of memory") {
                val count = AtomicInteger()
                thread.every(1.milliseconds) {
                    count.incrementAndGet()
                    throw OutOfMemoryError("test")
                }
                eventually(10.seconds) { count.get() shouldBeGreaterThan 3 }
            }

            it("is run again when it is repeated, and does not stop other actions") {
                val failing = AtomicInteger()
                val other = AtomicInteger()
                thread.every(1.milliseconds) {
                    failing.incrementAndGet()
                    error("unexpected")
                }
                thread.every(1.milliseconds) { other.incrementAndGet() }
                eventually(10.seconds) {
                    failing.get() shouldBeGreaterThan 3
                    other.get() shouldBeGreaterThan 3
                }
            }
        }
    })
