package org.bilberryhead.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.bilberryhead.cli.client.CallError
import org.bilberryhead.cli.client.ChangeCalls
import org.bilberryhead.cli.client.ChangeSubmission
import org.bilberryhead.core.common.ChangeId
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.tables.TableChange
import org.bilberryhead.core.testing.TestClock
import org.bilberryhead.operator.ChangeResponse
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private class FakeChangeCalls(
    private val proposed: Result<ChangeResponse, CallError>,
    private val outcomes: List<Result<ChangeResponse, CallError>>,
    private val clock: TestClock,
) : ChangeCalls {
    val recorded = mutableListOf<String>()
    private var queryCount = 0

    override suspend fun propose(change: TableChange) = proposed.also { recorded += "propose" }

    override suspend fun outcome(id: ChangeId): Result<ChangeResponse, CallError> {
        clock.advance(1.seconds)
        recorded += "query ${id.value}"
        return outcomes[queryCount++.coerceAtMost(outcomes.lastIndex)]
    }
}

class ChangeSubmissionTest :
    DescribeSpec({
        val accepted: ChangeResponse = ChangeResponse.Accepted(TableVersion(2), holders = 1)
        val change = TableChange(ChangeId("c1"), TableVersion(1), author = "", madeAt = TestClock.START)
        val lost = CallError.ResponseLost("reset")

        suspend fun submit(calls: FakeChangeCalls, clock: TestClock) =
            ChangeSubmission(calls, clock, timeout = 3.seconds, pollInterval = Duration.ZERO).submit(change) { }

        describe("a proposed change") {
            it("returns its outcome immediately when the response arrives") {
                val clock = TestClock()
                val calls = FakeChangeCalls(Ok(accepted), emptyList(), clock)

                submit(calls, clock) shouldBe Ok(accepted)

                calls.recorded shouldContainExactly listOf("propose")
            }

            it("is proposed once and then looked up by its id when the response is lost") {
                val clock = TestClock()
                val calls = FakeChangeCalls(Err(lost), listOf(Err(lost), Ok(accepted)), clock)

                submit(calls, clock) shouldBe Ok(accepted)

                calls.recorded shouldContainExactly listOf("propose", "query c1", "query c1")
            }

            it("stays unknown when no entry knows the outcome within the timeout") {
                val clock = TestClock()
                val unknown = ChangeResponse.Unknown("store down")
                val calls = FakeChangeCalls(Ok(unknown), listOf(Ok(unknown)), clock)

                submit(calls, clock) shouldBe Ok(unknown)
            }

            it("is an error without an outcome query when no connection was made") {
                val clock = TestClock()
                val unreachable = CallError.NoEntryReachable("refused")
                val calls = FakeChangeCalls(Err(unreachable), emptyList(), clock)

                submit(calls, clock) shouldBe Err(unreachable)

                calls.recorded shouldContainExactly listOf("propose")
            }
        }
    })
