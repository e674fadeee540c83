package org.bilberryhead.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import sun.misc.Signal
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

class ReloadSignalTest :
    DescribeSpec({
        val hangUp = Signal(ReloadSignal.NAME)

        /** A reload that counts its calls. */
        class CountedReload : () -> Unit {
            var count = 0

            override fun invoke() {
                count++
            }
        }

        describe("a signal before the daemon runs") {
            it("is not lost, because the daemon may have read its settings before the change") {
                val signal = ReloadSignal()
                val reload = CountedReload()
                signal.handle(hangUp)
                signal.onReload(reload)
                reload.count shouldBe 1
            }

            it("causes one reload together with all others that come before the daemon runs") {
                val signal = ReloadSignal()
                val reload = CountedReload()
                repeat(3) { signal.handle(hangUp) }
                signal.onReload(reload)
                reload.count shouldBe 1
            }

            it("does not cause another reload later") {
                val signal = ReloadSignal()
                val reload = CountedReload()
                signal.handle(hangUp)
                signal.onReload(reload)
                signal.handle(hangUp)
                reload.count shouldBe 2
            }
        }

        describe("a daemon that runs") {
            it("does not reload without a signal") {
                val reload = CountedReload()
                ReloadSignal().onReload(reload)
                reload.count shouldBe 0
            }

            it("reloads once for each signal") {
                val signal = ReloadSignal()
                val reload = CountedReload()
                signal.onReload(reload)
                repeat(3) { signal.handle(hangUp) }
                reload.count shouldBe 3
            }

            it("does not begin a reload beside another, whose older settings could then be applied last") {
                val signal = ReloadSignal()
                val running = AtomicInteger()
                val mostRunning = AtomicInteger()
                val second = thread(start = false) { signal.handle(hangUp) }
                signal.onReload {
                    mostRunning.accumulateAndGet(running.incrementAndGet(), ::maxOf)
                    if (second.state == Thread.State.NEW) {
                        second.start()
                        // Until it waits for this reload, or has reloaded beside it.
                        while (second.state == Thread.State.RUNNABLE) Thread.onSpinWait()
                    }
                    running.decrementAndGet()
                }
                signal.handle(hangUp)
                second.join()
                mostRunning.get() shouldBe 1
            }
        }
    })
