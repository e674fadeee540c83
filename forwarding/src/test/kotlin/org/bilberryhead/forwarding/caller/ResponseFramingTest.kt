package org.bilberryhead.forwarding.caller

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldStartWith

private const val END_OF_HEAD = "\r\n\r\n"
private val statuses =
    listOf(200, 204, 205, 304, 400, 401, 404, 408, 413, 421, 429, 431, 500, 502, 503, 504)
private val statusesWithoutBody = setOf(204, 205, 304)
private val connectionHeaders = mapOf("kept" to "", "closed" to "Connection: close\r\n")

private fun requestText(method: String, id: String, headers: String = "") =
    "$method /order/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: $id\r\n$headers\r\n"

private fun String.header(name: String) =
    lines().firstOrNull { it.startsWith("$name:", ignoreCase = true) }?.substringAfter(':')?.trim()

class ResponseFramingTest :
    DescribeSpec({
        for ((connection, header) in connectionHeaders) {
            for (status in statuses) {
                describe("a response with status $status on a connection that is $connection") {
                    fun sentAfter(method: String): Pair<String, String> {
                        val harness = CallerConnectionHarness { it.respond(status) }
                        harness.receive(requestText(method, "a", header))
                        return harness.sentText.substringBefore(END_OF_HEAD) to
                            harness.sentText.substringAfter(END_OF_HEAD)
                    }

                    it("has no body after HEAD, and says the length that it would have") {
                        val (head, body) = sentAfter("HEAD")
                        body shouldBe ""
                        if (status !in statusesWithoutBody) head.header("Content-Length") shouldBe "8"
                    }

                    it("has a body after GET only if its status allows one") {
                        val (head, body) = sentAfter("GET")
                        body shouldBe if (status in statusesWithoutBody) "" else "answer a"
                        if (status !in statusesWithoutBody) head.header("Content-Length") shouldBe "8"
                    }
                }
            }
        }

        describe("the response after a refusal of HEAD on a kept connection") {
            it("begins where the head of the refusal ends") {
                val harness = CallerConnectionHarness { it.respond(if (it.id == "a") 404 else 200) }
                harness.receive(requestText("HEAD", "a"))
                harness.receive(requestText("GET", "b"))
                val afterRefusal = harness.sentText.substringAfter(END_OF_HEAD)
                afterRefusal shouldStartWith "HTTP/1.1 200"
                afterRefusal shouldEndWith "${END_OF_HEAD}answer b"
            }
        }

        describe("a HEAD request that is rejected before it is read completely") {
            for ((reason, headers) in mapOf(
                "its body is too long" to "Content-Length: 21\r\n\r\n${"x".repeat(21)}",
                "its headers are too long" to "X-Long: ${"x".repeat(600)}\r\n",
                "its target is repeated" to "Host: g\r\n",
            )) {
                it("is answered without a body when $reason") {
                    val harness = CallerConnectionHarness()
                    harness.receive(requestText("HEAD", "a", headers))
                    harness.sentText shouldStartWith "HTTP/1.1 4"
                    harness.sentText shouldEndWith END_OF_HEAD
                }
            }
        }
    })
