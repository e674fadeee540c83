package org.bilberryhead.soak

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import org.bilberryhead.platform.wire.WireHeaders
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

class PlannedResponseCheckTest :
    DescribeSpec({
        fun request(kind: RequestKind = RequestKind.ORDER, method: String = "GET", isFirst: Boolean = false) =
            PlannedRequest("a", kind, method, port = 1, isFirst)

        fun responseTo(bytes: String, isHead: Boolean = false): ReceivedResponse =
            ResponseReader(bytes.byteInputStream(), waits = null).read(isHead)

        fun violationsOf(request: PlannedRequest, bytes: String, isExecuted: Boolean = false): List<String> {
            val checker = InvariantChecker()
            if (isExecuted) checker.recordExecution("a")
            PlannedResponseCheck(
                checker,
            ).check(request, responseTo(bytes, request.method == "HEAD"), isSentWhole = true)
            return checker.violations
        }

        val ownId = "${WireHeaders.REQUEST_ID}: a\r\n"
        val body = SoundBody.plain("a")
        val whole = "HTTP/1.1 200 OK\r\n${ownId}Content-Length: ${body.length}\r\n\r\n$body"
        val events = SoundBody.events("a").map { "${it.length.toString(radix = 16)}\r\n$it\r\n" }
        val chunkedHead = "HTTP/1.1 200 OK\r\n${ownId}Transfer-Encoding: chunked\r\n\r\n"

        describe("a request of a planned run") {
            it("may get its whole answer, a refusal, or the head alone if it is HEAD") {
                violationsOf(request(), whole).shouldBeEmpty()
                violationsOf(request(), "HTTP/1.1 503 No\r\n${ownId}Content-Length: 2\r\n\r\nno").shouldBeEmpty()
                violationsOf(request(method = "HEAD"), whole.substringBefore(body)).shouldBeEmpty()
                violationsOf(request(RequestKind.RESUMABLE_STREAM), chunkedHead + events.joinToString("") + "0\r\n\r\n")
                    .shouldBeEmpty()
            }

            it("must not get another response, part of one, or an error that is no refusal") {
                violationsOf(request(), whole.replace(": a\r\n", ": b\r\n")) shouldHaveSize 1
                violationsOf(request(), whole.dropLast(1)) shouldHaveSize 1
                violationsOf(request(), whole.take(9)) shouldHaveSize 1
                violationsOf(request(), whole.replace("200 OK", "500 No")) shouldHaveSize 1
                violationsOf(
                    request(RequestKind.RESUMABLE_STREAM),
                    chunkedHead + events.joinToString(""),
                ) shouldHaveSize
                    1
                violationsOf(
                    request(RequestKind.RESUMABLE_STREAM),
                    chunkedHead + events.drop(1).joinToString("") + "0\r\n\r\n",
                ) shouldHaveSize
                    1
            }

            it("may lose its kept connection before any byte only if nothing was passed on") {
                violationsOf(request(), "").shouldBeEmpty()
                violationsOf(request(), "", isExecuted = true) shouldHaveSize 1
                violationsOf(request(isFirst = true), "") shouldHaveSize 1
            }

            it("may be cut as a stream that was sent early in a drain, at its end only") {
                fun cut(sentAfterMs: Long, kind: RequestKind, waited: Duration) = violationsOf(
                    request(kind).apply {
                        sinceTerminationMs = sentAfterMs
                        sentAt = TimeSource.Monotonic.markNow() - waited
                    },
                    chunkedHead + events.first(),
                    isExecuted = true,
                )
                cut(sentAfterMs = 2_000, RequestKind.RESUMABLE_STREAM, waited = 4.seconds).shouldBeEmpty()
                cut(sentAfterMs = 2_000, RequestKind.RESUMABLE_STREAM, waited = 1.seconds) shouldHaveSize 1
                cut(sentAfterMs = 3_500, RequestKind.RESUMABLE_STREAM, waited = 4.seconds) shouldHaveSize 1
                cut(sentAfterMs = 2_000, RequestKind.ORDER, waited = 4.seconds) shouldHaveSize 1
            }

            it("must not lose its kept connection long after it was sent") {
                val late = request().apply { sentAt = TimeSource.Monotonic.markNow() - 1.seconds }
                violationsOf(late, "") shouldHaveSize 1
            }

            it("must not be followed by a second response or a body to HEAD") {
                val checker = InvariantChecker()
                PlannedResponseCheck(checker).checkNothingFollows("a", port = 1, body.byteInputStream())
                checker.violations shouldHaveSize 1
            }
        }
    })
