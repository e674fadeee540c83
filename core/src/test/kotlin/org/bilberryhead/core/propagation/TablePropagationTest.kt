package org.bilberryhead.core.propagation

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.message.Changes
import org.bilberryhead.core.message.FetchChanges
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val link = LinkId("sidecar")

/** Sends events to a [TablePropagation] and advances the simulated clock. */
private class Driver(readsLog: Boolean = true) {
    val propagation = TablePropagation(Random(1), readsLog = readsLog)
    var now = Instant.fromEpochSeconds(1_800_000_000)

    fun handle(event: PropagationEvent, after: Duration = 1.milliseconds): List<PropagationAction> {
        now += after
        return propagation.handle(event, now)
    }

    fun timeUntilNextRead(): Duration {
        val startedAt = now
        while (handle(PropagationEvent.TimerDue, after = 10.milliseconds).none { it is PropagationAction.ReadLog }) {
            check(now - startedAt < 60.seconds) { "the log was not read again within 60 s" }
        }
        return now - startedAt
    }

    fun reportVersion(version: Long, name: String = "sidecar") =
        handle(PropagationEvent.VersionReported(LinkId(name), DaemonId(name), TableVersion(version)))
}

private fun sent(actions: List<PropagationAction>) = actions.filterIsInstance<PropagationAction.Send>().map {
    it.message
}

class TablePropagationTest :
    DescribeSpec({
        describe("a committed change") {
            it("is published and sent to connected processes at once, and accepted when one of them reports it") {
                val driver = Driver()
                driver.reportVersion(0)

                val actions = driver.handle(PropagationEvent.Committed(testChange(1)))

                sent(actions) shouldContain Changes(listOf(testChange(1)))
                actions.filterIsInstance<PropagationAction.PublishTables>().size shouldBe 1
                actions.filterIsInstance<PropagationAction.ReportAccepted>().shouldBeEmpty()
                driver.reportVersion(1) shouldContain PropagationAction.ReportAccepted(TableVersion(1), holderCount = 1)
            }
            it("is accepted at once when no other process is connected") {
                Driver().handle(PropagationEvent.Committed(testChange(1))) shouldContain
                    PropagationAction.ReportAccepted(TableVersion(1), holderCount = 0)
            }
            it("is accepted after the acceptance timeout when no process acknowledges it") {
                val driver = Driver()
                driver.reportVersion(0)
                driver.handle(PropagationEvent.Committed(testChange(1)))

                driver.handle(PropagationEvent.TimerDue, after = 2.seconds) shouldContain
                    PropagationAction.ReportAccepted(TableVersion(1), holderCount = 0)
            }
        }
        describe("a process that reports another version") {
            it("is sent the missing changes when it is behind, at most once per second") {
                val driver = Driver()
                driver.handle(PropagationEvent.Committed(testChange(1)))

                sent(driver.reportVersion(0)) shouldContainExactly listOf(Changes(listOf(testChange(1))))
                sent(driver.reportVersion(0)).shouldBeEmpty()
                sent(driver.handle(PropagationEvent.TimerDue, after = 1.seconds)).size shouldBe 1
            }
            it("receives a request for changes when it is ahead") {
                sent(Driver().reportVersion(1)) shouldContainExactly listOf(FetchChanges(TableVersion.NONE))
            }
            it("is one of at most two with a pending request; others receive one when these do not respond") {
                val driver = Driver()
                val firstRequested = (1..5).flatMap {
                    driver.reportVersion(1, "sidecar-$it")
                }.map { (it as? PropagationAction.Send)?.link }
                val laterActions = driver.handle(PropagationEvent.TimerDue, after = 1.seconds)

                firstRequested.filterNotNull() shouldContainExactly listOf(LinkId("sidecar-1"), LinkId("sidecar-2"))
                laterActions.filterIsInstance<PropagationAction.Send>().map { it.link } shouldContainExactly
                    listOf(LinkId("sidecar-3"), LinkId("sidecar-4"))
            }
            it("is sent the tables only on request by a process that does not read the log") {
                val driver = Driver(readsLog = false)
                driver.handle(PropagationEvent.ChangesReceived(link, listOf(testChange(1))))

                sent(driver.reportVersion(0, "entry")).shouldBeEmpty()
                sent(
                    driver.handle(PropagationEvent.ChangesRequested(LinkId("entry"), TableVersion.NONE)),
                ) shouldContainExactly
                    listOf(Changes(listOf(testChange(1))))
            }
            it("no longer counts as a holder once its connection is closed") {
                val driver = Driver()
                driver.reportVersion(1)
                driver.handle(PropagationEvent.LinkClosed(link))

                driver.propagation.holderCount(TableVersion(1)) shouldBe 0
            }
        }
        describe("the log") {
            it("is read again after increasing delays while reads fail") {
                val driver = Driver()
                driver.handle(PropagationEvent.TimerDue)

                val delays = (1..6).map {
                    driver.handle(PropagationEvent.LogReadFailed("down"))
                    driver.timeUntilNextRead()
                }

                (delays.last() <= 5.seconds) shouldBe true
                (delays.last() > delays.first()) shouldBe true
            }
            it("violates an invariant when it ends before a version that the process held when the read started") {
                val driver = Driver()
                driver.handle(PropagationEvent.Committed(testChange(1)))

                val actions = driver.handle(PropagationEvent.LogRead(TableVersion(1), LogPage(TableVersion.NONE)))

                actions.filterIsInstance<PropagationAction.ReportInvariantViolation>().size shouldBe 1
                driver.propagation.tables.version shouldBe TableVersion(1)
            }
        }
    })
