package org.bilberryhead.forwarding

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe

private const val STATUS_LINE = "HTTP/1.1 200 OK\r\n"
private val length = "Content-Length: ${SoundEvents.BOTH.length}\r\n"

/** Lines of a head that are no field, and what the entry logs of each. */
private val invalidLines = mapOf(
    "a blank in the name" to ("X-No te: a" to "\"X-No te\""),
    "a blank after the name" to ("X-Note : a" to "\"X-Note \""),
    "a tab in the name" to ("X-No\tte: a" to "\"X-No\\x09te\""),
    "a zero byte in the name" to ("X-No\u0000te: a" to "\"X-No\\x00te\""),
    "a control byte in the name" to ("X-No\u0001te: a" to "\"X-No\\x01te\""),
    "a delete byte in the name" to ("X-No\u007fte: a" to "\"X-No\\x7Fte\""),
    "a carriage return in the name" to ("X-No\rte: a" to "\"X-No\\x0Dte\""),
    "a separator in the name" to ("X-No(te: a" to "\"X-No(te\""),
    "a byte beyond ASCII in the name" to ("X-No\u00e9te: a" to "\"X-No\\xE9te\""),
    "no name" to (": a" to "the field name"),
    "no colon" to ("X-Note" to "no colon"),
    "a folded line" to (" a" to "no colon"),
    "a folded line with a colon" to ("\tX-Note: a" to "the field name"),
    "a zero byte in the value" to ("X-Note: a\u0000b" to "the value of the field X-Note"),
    "a control byte in the value" to ("X-Note: a\u0001b" to "the value of the field X-Note"),
    "a delete byte in the value" to ("X-Note: a\u007fb" to "the value of the field X-Note"),
    "a carriage return in the value" to ("X-Note: a\rb" to "the value of the field X-Note"),
    "a line feed alone at its end" to ("X-Note: a\nX-Other: b" to "CRLF"),
)

private val inFinalHead = invalidLines.flatMap { (description, lineAndReason) ->
    val (line, reason) = lineAndReason
    listOf(
        InvalidResponse("$description, in the first field", reason) { id ->
            "$STATUS_LINE$line\r\n${soundHeaders(id)}$length\r\n${SoundEvents.BOTH}"
        },
        InvalidResponse("$description, in the last field", reason) { id ->
            "$STATUS_LINE${soundHeaders(id)}$length$line\r\n\r\n${SoundEvents.BOTH}"
        },
    )
}

private val inInterimHead = invalidLines.map { (description, lineAndReason) ->
    val (line, reason) = lineAndReason
    InvalidResponse("$description, in an interim response", reason) { id ->
        "HTTP/1.1 103 Early Hints\r\nLink: a\r\n$line\r\n\r\n$STATUS_LINE${soundHeaders(
            id,
        )}$length\r\n${SoundEvents.BOTH}"
    }
}

/** Fields that would say where the body ends if their names were valid. */
private val invalidFraming = listOf(
    InvalidResponse("a length shorter than the body with a blank in its name", "\"Content-Length x\"") { id ->
        "$STATUS_LINE${soundHeaders(id)}Content-Length x: ${SoundEvents.FIRST.length}\r\n\r\n${SoundEvents.BOTH}"
    },
    InvalidResponse("a length shorter than the body with a blank after its name", "\"Content-Length \"") { id ->
        "$STATUS_LINE${soundHeaders(id)}Content-Length : ${SoundEvents.FIRST.length}\r\n\r\n${SoundEvents.BOTH}"
    },
    InvalidResponse("a length with a control byte in its name", "\"Content-Length\\x01\"") { id ->
        "$STATUS_LINE${soundHeaders(id)}Content-Length\u0001: ${SoundEvents.BOTH.length}\r\n\r\n${SoundEvents.BOTH}"
    },
    InvalidResponse("a transfer encoding with a blank after its name", "\"Transfer-Encoding \"") { id ->
        val chunk = "${SoundEvents.BOTH.length.toString(radix = 16)}\r\n${SoundEvents.BOTH}\r\n0\r\n\r\n"
        "$STATUS_LINE${soundHeaders(id)}Transfer-Encoding : chunked\r\n\r\n$chunk"
    },
)

class InvalidFieldTest :
    DescribeSpec({
        include(testsOfInvalidResponses(inFinalHead + inInterimHead + invalidFraming))

        describe("a response with a field that is invalid") {
            it("never counts as a refusal, whatever its other fields say: the request may have run") {
                for ((description, lineAndReason) in invalidLines) {
                    withClue(description) {
                        deploy({
                            write("HTTP/1.1 503 Busy\r\nX-Request-Id: $id\r\nX-Not-Executed: 1\r\n")
                            write("${lineAndReason.first}\r\nContent-Length: 0\r\n\r\n")
                        }) { entry, _ -> entry.get("/order/a").shouldNotBeNull().status shouldBe 502 }
                    }
                }
            }
        }

        describe("a response with an unusual field that is valid") {
            it("is forwarded with that field") {
                val fields = listOf("X-!#$%&'*+.^_`|~9: a", "X-Note: a\tb", "X-Note: \u00e9", "X-Note:a", "X-Note: a:b")
                for (field in fields) {
                    withClue(field) {
                        deploy({
                            val text = "$STATUS_LINE${soundHeaders(id)}$field\r\n$length\r\n${SoundEvents.BOTH}"
                            write(text.toByteArray(Charsets.ISO_8859_1))
                        }) { entry, _ ->
                            val received = entry.get("/order/a").shouldNotBeNull()
                            received.body shouldBe SoundEvents.BOTH
                            val (name, value) = field.split(':', limit = 2)
                            received.header(name) shouldBe value.trim()
                        }
                    }
                }
            }

            it("is forwarded when the field has no value") {
                deploy({
                    write("${STATUS_LINE}X-Note:\r\n${soundHeaders(id)}$length\r\n${SoundEvents.BOTH}")
                }) { entry, _ ->
                    entry.get("/order/a").shouldNotBeNull().header("X-Note") shouldBe ""
                }
            }
        }
    })
