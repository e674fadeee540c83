package org.bilberryhead.forwarding

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe

/** Returns the text of a response with [statusLine] that is sound otherwise. */
private fun responseWith(statusLine: String, headers: String = ""): (String) -> String = { id ->
    "$statusLine\r\n${soundHeaders(id)}${headers}Content-Length: ${SoundEvents.BOTH.length}\r\n\r\n${SoundEvents.BOTH}"
}

private val invalidStatusLines = mapOf(
    "the status 000" to "HTTP/1.1 000 Unknown",
    "a status below 100" to "HTTP/1.1 099 Low",
    "a status above 599" to "HTTP/1.1 600 High",
    "the status 999" to "HTTP/1.1 999 High",
    "a status of two digits" to "HTTP/1.1 20 OK",
    "a status of four digits" to "HTTP/1.1 0200 OK",
    "a status with a sign" to "HTTP/1.1 +200 OK",
    "a status with letters" to "HTTP/1.1 2OO OK",
    "no status" to "HTTP/1.1 OK",
    "no blank after the status" to "HTTP/1.1 200OK",
    "two blanks before the status" to "HTTP/1.1  200 OK",
    "a tab before the status" to "HTTP/1.1\t200 OK",
    "a blank before the version" to " HTTP/1.1 200 OK",
    "a control byte before the version" to "\u0000HTTP/1.1 200 OK",
    "an empty line before the version" to "\r\nHTTP/1.1 200 OK",
    "another protocol" to "ICY/1.1 200 OK",
    "another version of the protocol" to "HTTP/2.0 200 OK",
    "a version without a point" to "HTTP/11 200 OK",
    "a version in lower case" to "http/1.1 200 OK",
    "a control byte in the reason" to "HTTP/1.1 200 O\u0001K",
    "a carriage return in the reason" to "HTTP/1.1 200 O\rK",
)

class InvalidStatusLineTest :
    DescribeSpec({
        include(
            testsOfInvalidResponses(
                invalidStatusLines.map { (description, line) ->
                    InvalidResponse(description, reason = "the status line", textFor = responseWith(line))
                },
            ),
        )

        describe("a response whose status is invalid") {
            it("never counts as a refusal, whatever its headers say: the request may have run") {
                for (status in listOf("000", "099", "600", "999")) {
                    val textFor = responseWith("HTTP/1.1 $status Busy", headers = "X-Not-Executed: 1\r\n")
                    withClue(status) {
                        deploy({ write(textFor(id)) }) { entry, _ ->
                            entry.get("/order/a").shouldNotBeNull().status shouldBe 502
                        }
                    }
                }
            }

            it("is no response when it follows an interim response, or is that of an interim one") {
                val starts = listOf(
                    "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 000 Unknown",
                    "HTTP/1.1 099 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK",
                )
                for (start in starts) {
                    withClue(start) {
                        deploy({ write(responseWith(start)(id)) }) { entry, _ ->
                            entry.get("/order/a").shouldNotBeNull().status shouldBe 502
                        }
                    }
                }
            }
        }

        describe("a response whose status line is valid") {
            it("is forwarded with its status, however unusual the line is") {
                val lines = mapOf(
                    "HTTP/1.1 200" to 200,
                    "HTTP/1.1 200 " to 200,
                    "HTTP/1.0 200 OK" to 200,
                    "HTTP/1.1 299 a\tb \u00e9" to 299,
                    "HTTP/1.1 399 Other" to 399,
                    "HTTP/1.1 499 Other" to 499,
                    "HTTP/1.1 599 Other" to 599,
                )
                for ((line, status) in lines) {
                    withClue(line) {
                        deploy({ write(responseWith(line)(id).toByteArray(Charsets.ISO_8859_1)) }) { entry, _ ->
                            val received = entry.get("/order/a").shouldNotBeNull()
                            received.status shouldBe status
                            received.body shouldBe SoundEvents.BOTH
                        }
                    }
                }
            }
        }
    })
