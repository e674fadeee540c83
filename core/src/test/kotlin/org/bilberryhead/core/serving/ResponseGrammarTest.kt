package org.bilberryhead.core.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** Size of the stack of a deployed thread, in bytes. */
private const val STACK_BYTES = 256L * 1024

class ResponseGrammarTest :
    DescribeSpec({
        describe("a status line") {
            it("is valid with a status from 100 to 599, and with no other") {
                for (status in 0..999) {
                    val problem = ResponseGrammar.problemOfStatusLine(
                        "HTTP/1.1 ${status.toString().padStart(3, '0')} A",
                    )
                    (problem == null) shouldBe (status in 100..599)
                }
            }
        }

        describe("a field") {
            it("is valid with each visible byte in its value, and with no control byte but a tab") {
                for (code in 0..255) {
                    val isValid = code == '\t'.code || code in 0x20..0x7e || code >= 0x80
                    (ResponseGrammar.problemOfField("X-A: a${code.toChar()}b") == null) shouldBe isValid
                }
            }

            it("is valid with each character of a token in its name, and with no other") {
                val token = "!#$%&'*+-.^_`|~" + ('0'..'9').joinToString("") + ('a'..'z').joinToString("") +
                    ('A'..'Z').joinToString("")
                for (character in (0..255).map { it.toChar() } - ':') {
                    (ResponseGrammar.problemOfField("X${character}A: a") == null) shouldBe (character in token)
                }
            }

            it("is described by its name alone, with invisible bytes made visible") {
                ResponseGrammar.problemOfField("X-\u0001\u00e9: secret") shouldBe
                    "the field name \"X-\\x01\\xE9\" is invalid"
                ResponseGrammar.problemOfField("X-A: secret\u0001") shouldBe "the value of the field X-A is invalid"
            }
        }

        describe("a chunk line") {
            it("states the length of its chunk in hexadecimal digits, whatever extensions follow") {
                val lengths = mapOf("0" to 0L, "00" to 0L, "1f" to 31L, "1F;a=b" to 31L, "00000000010 ; a" to 16L)
                for ((line, length) in lengths) {
                    ResponseGrammar.problemOfChunkLine(line).shouldBeNull()
                    ResponseGrammar.chunkLengthOf(line) shouldBe length
                }
            }

            it("is invalid when its length is beyond that of any body") {
                ResponseGrammar.problemOfChunkLine("fffffff").shouldBeNull()
                ResponseGrammar.problemOfChunkLine("10000000").shouldNotBeNull()
            }

            it("can be as long as a connection accepts without using up the stack") {
                val lines = listOf("5;" + "a=b;".repeat(4_000) + "a", "5;a=\"" + "\\a".repeat(8_000) + "\"")
                val problems = CompletableFuture<List<String?>>()
                val check = Runnable {
                    runCatching { lines.map(ResponseGrammar::problemOfChunkLine) }
                        .onSuccess { problems.complete(it) }
                        .onFailure { problems.completeExceptionally(it) }
                }
                Thread(null, check, "small stack", STACK_BYTES).start()
                problems.get(10, TimeUnit.SECONDS) shouldBe listOf(null, null)
            }
        }
    })
