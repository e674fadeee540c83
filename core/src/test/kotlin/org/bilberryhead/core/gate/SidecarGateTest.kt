package org.bilberryhead.core.gate

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.common.RequestKind
import org.bilberryhead.core.common.StageName
import org.bilberryhead.core.execution.AttemptLedger
import org.bilberryhead.core.execution.LedgerLimits
import org.bilberryhead.core.message.AttemptMessage
import org.bilberryhead.core.message.AttemptOutcome
import org.bilberryhead.core.message.Cancel
import org.bilberryhead.core.message.Dispatch
import org.bilberryhead.core.message.Forgotten
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.message.Query
import org.bilberryhead.core.message.RefusalReason
import org.bilberryhead.core.message.Refused
import org.bilberryhead.core.message.Running
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val NOW = Instant.fromEpochSeconds(1_800_000_000)
private val INCARNATION = Incarnation("run-1")
private val ATTEMPT = AttemptId("ticket:0")
private val FIRST = ConnectionId(1)
private val SECOND = ConnectionId(2)

class SidecarGateTest :
    DescribeSpec({
        describe("a known attempt id") {
            it("is refused for another client account or another body, and its attempt continues to run") {
                val gate = servingGate()
                gate.receive(FIRST, dispatch())
                val otherAccount = dispatch(request = "other").copy(clientAccount = ClientAccount("stranger"))
                val mismatch = Refused(ATTEMPT, RefusalReason.ATTEMPT_MISMATCH)
                gate.receive(SECOND, otherAccount) shouldContainExactly listOf(SECOND to mismatch)
                gate.receive(SECOND, dispatch("other").copy(fingerprint = "else")) shouldContain (SECOND to mismatch)
                gate.receive(SECOND, query("other").copy(fingerprint = "else")) shouldContain (SECOND to mismatch)
                gate.respond("done") shouldBe listOf(FIRST)
            }
        }
        describe("an attempt with two subscribers") {
            it("stays queued when one subscriber cancels, and sends its response only to the other") {
                val gate = servingGate()
                gate.receive(FIRST, dispatch("blocker", AttemptId("blocker")))
                gate.receive(FIRST, dispatch("one"))
                gate.receive(SECOND, dispatch("two"))
                gate.receive(FIRST, Cancel(ATTEMPT, INCARNATION, RequestId("one"))) shouldContain
                    (FIRST to Running(ATTEMPT))
                gate.respond("first", AttemptId("blocker"))
                gate.respond("done") shouldBe listOf(SECOND)
            }
        }
        describe("a running non-idempotent attempt") {
            it("is not cancelled") {
                val gate = servingGate()
                gate.receive(FIRST, dispatch("one"))
                val cancel = GateEvent.MessageArrived(FIRST, Cancel(ATTEMPT, INCARNATION, RequestId("one")))
                gate.handle(cancel, NOW) shouldContainExactly listOf(GateAction.Send(FIRST, Running(ATTEMPT)))
            }
        }
        describe("a message for another incarnation of the sidecar") {
            it("is answered with Forgotten and not recorded") {
                val gate = servingGate()
                val old = Incarnation("run-0")
                val forgotten = FIRST to Forgotten(ATTEMPT)
                gate.receive(FIRST, Cancel(ATTEMPT, old, RequestId("one"))) shouldContainExactly listOf(forgotten)
                gate.receive(FIRST, query("one").copy(incarnation = old)) shouldContainExactly listOf(forgotten)
                gate.receive(FIRST, dispatch("one").copy(incarnation = old)) shouldContainExactly listOf(forgotten)
                gate.status.rememberedAttempts shouldBe 0
            }
        }
        describe("a forgotten attempt") {
            it("is not reported as never seen") {
                val ledger = AttemptLedger(LedgerLimits(maximumEnded = 1))
                val gate = servingGate(ledger)
                gate.receive(FIRST, dispatch())
                gate.respond("done")
                gate.receive(FIRST, query("other").copy(attempt = AttemptId("ticket-2:0")))
                ledger.outcomeOf(ATTEMPT).outcome shouldBe AttemptOutcome.FORGOTTEN
                gate.receive(FIRST, dispatch()) shouldContainExactly listOf(FIRST to Forgotten(ATTEMPT))
            }
        }
        describe("a dispatch that arrived while the message queue was full") {
            it("is refused and never runs, even if it is sent again") {
                val gate = servingGate()
                val overflow = GateEvent.MessageQueueFull(FIRST, dispatch().copy(payload = Payload.EMPTY))
                gate.handle(overflow, NOW).filterIsInstance<GateAction.Run>() shouldBe emptyList()
                gate.receive(SECOND, query("two")).refusalReasons() shouldBe listOf(RefusalReason.QUEUE_FULL)
                gate.receive(SECOND, dispatch("two")).refusalReasons() shouldBe listOf(RefusalReason.QUEUE_FULL)
                gate.status.load.running shouldBe 0
            }
            it("is not reported as not run when the same attempt is already running") {
                val gate = servingGate()
                gate.receive(FIRST, dispatch("one"))
                val overflow = GateEvent.MessageQueueFull(SECOND, dispatch("two").copy(payload = Payload.EMPTY))
                gate.handle(overflow, NOW) shouldContainExactly listOf(GateAction.Send(SECOND, Running(ATTEMPT)))
                gate.respond("done") shouldBe listOf(FIRST, SECOND)
            }
        }
        describe("a late message on an older connection") {
            it("does not redirect the response from the newer connection") {
                val gate = servingGate()
                gate.receive(FIRST, dispatch("one"))
                gate.receive(SECOND, query("one"))
                gate.receive(FIRST, dispatch("one"))
                gate.respond("done") shouldBe listOf(SECOND)
            }
        }
        describe("a leaving sidecar") {
            it("stops once, after its work has ended and the grace period for queries has passed") {
                val gate = servingGate()
                gate.receive(FIRST, dispatch("one"))
                gate.handle(GateEvent.LeaveRequested, NOW)
                gate.respond("done")
                gate.handle(GateEvent.Tick, NOW + 1.seconds) shouldBe emptyList()
                gate.handle(GateEvent.Tick, NOW + 5.seconds) shouldContainExactly listOf(GateAction.Stop)
                gate.handle(GateEvent.Tick, NOW + 6.seconds) shouldBe emptyList()
            }
        }
    }) {
    private companion object {
        fun servingGate(ledger: AttemptLedger = AttemptLedger()): SidecarGate {
            val gate = SidecarGate(INCARNATION, GateLimits(concurrency = 1), ledger)
            gate.handle(GateEvent.Ready, NOW)
            listOf(FIRST, SECOND).forEach { gate.handle(GateEvent.ConnectionOpened(it), NOW) }
            return gate
        }

        fun dispatch(request: String = "one", attempt: AttemptId = ATTEMPT) = Dispatch(
            attempt = attempt,
            incarnation = INCARNATION,
            request = RequestId(request),
            kind = RequestKind("refill"),
            stage = StageName("order"),
            clientAccount = ClientAccount("owner"),
            remainingMillis = 4_000,
            idempotent = false,
            payload = Payload.ofText("12 bins"),
            fingerprint = "digest",
        )

        fun query(request: String) =
            Query(ATTEMPT, INCARNATION, 0, RequestId(request), ClientAccount("owner"), "digest")

        /** Handles [message] and returns the messages that the gate sends, with their connections. */
        fun SidecarGate.receive(connection: ConnectionId, message: AttemptMessage): List<Pair<ConnectionId, Message>> =
            handle(GateEvent.MessageArrived(connection, message), NOW)
                .filterIsInstance<GateAction.Send>()
                .map { it.connection to it.message }

        fun List<Pair<ConnectionId, Message>>.refusalReasons() = map { (it.second as Refused).reason }

        /** Reports a response of the endpoint and returns the connections that it is sent on. */
        fun SidecarGate.respond(text: String, attempt: AttemptId = ATTEMPT): List<ConnectionId> =
            handle(GateEvent.EndpointResponded(attempt, Payload.ofText(text), last = true), NOW)
                .filterIsInstance<GateAction.Send>()
                .map { it.connection }
    }
}
