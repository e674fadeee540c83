package org.bilberryhead.sidecar

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeout
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration.Companion.seconds

class ControlThreadTest :
    DescribeSpec({
        describe("the control thread") {
            it("suspends callers above its capacity, and drops no step") {
                val control = ControlThread(capacity = 2) { throw AssertionError("broken invariant") }
                val release = CountDownLatch(1)
                val order = CopyOnWriteArrayList<String>()
                control.post { release.await() }
                control.hasCapacity shouldBe true
                control.submit { order += "first" }
                control.hasCapacity shouldBe false

                coroutineScope {
                    val second = async(start = CoroutineStart.UNDISPATCHED) { control.submit { order += "second" } }
                    second.isCompleted shouldBe false
                    control.post { order += "third" }
                    control.unfinishedSteps shouldBe 4
                    release.countDown()
                    withTimeout(15.seconds) { second.await() }
                }
                withTimeout(15.seconds) { control.submit { order += "last" } }
                val done = CountDownLatch(1)
                control.post { done.countDown() }
                done.await()

                order shouldContainExactly listOf("first", "second", "third", "last")
                control.hasCapacity shouldBe true
            }
        }
    })
