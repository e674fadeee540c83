package org.bilberryhead.forwarding.caller

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import org.bilberryhead.forwarding.caller.CallerConnectionHarness.Companion.bodyRequest
import org.bilberryhead.forwarding.caller.CallerConnectionHarness.Companion.request
import kotlin.time.Duration.Companion.seconds

class CallerConnectionTest :
    DescribeSpec({
        fun CallerConnectionHarness.bodies() = responses.map { it.body }

        describe("requests that were read behind another one") {
            it("are answered in order when the process drains, and only the last answer closes the connection") {
                val harness = CallerConnectionHarness()
                harness.receive(request("a") + request("b") + request("c"))
                harness.isDraining = true
                repeat(3) {
                    harness.served.last().respond()
                    harness.runTasks()
                }
                harness.bodies() shouldBe listOf("answer a", "answer b", "answer c")
                harness.responses.map { it.header("Connection") } shouldBe listOf(null, null, "close")
                harness.isOpen shouldBe false
            }

            it("are answered behind one that a draining process refuses as soon as it has read it") {
                val harness = CallerConnectionHarness { it.respond(status = 503) }
                harness.isDraining = true
                harness.receive(request("a") + request("b") + request("c"))
                harness.bodies() shouldBe listOf("answer a", "answer b", "answer c")
                harness.responses.map { it.header("Connection") } shouldBe listOf(null, null, "close")
                harness.isOpen shouldBe false
            }

            it("are answered behind a stream that begins while the process drains") {
                val harness = CallerConnectionHarness()
                harness.receive(request("a") + request("b"))
                harness.isDraining = true
                harness.served.single().start()
                harness.served.single().finish()
                harness.runTasks()
                harness.served.last().respond()
                harness.bodies() shouldBe listOf("answer a", "answer b")
            }

            it("are not served after one whose caller asked to close the connection") {
                val harness = CallerConnectionHarness()
                harness.receive(request("a", "Connection: close\r\n") + request("b"))
                harness.served.single().respond()
                harness.runTasks()
                harness.bodies() shouldBe listOf("answer a")
                harness.served shouldHaveSize 1
                harness.isOpen shouldBe false
            }

            it("are not served once an answer has announced the end of the connection") {
                val harness = CallerConnectionHarness()
                harness.receive(request("a"))
                harness.isDraining = true
                harness.served.single().start()
                harness.receive(request("b"))
                harness.served.single().finish()
                harness.runTasks()
                harness.bodies() shouldBe listOf("answer a")
                harness.served shouldHaveSize 1
                harness.isOpen shouldBe false
            }

            it("are not lost when the rest of one arrives while the process drains") {
                val harness = CallerConnectionHarness()
                harness.receive(request("a") + request("b").dropLast(3))
                harness.isDraining = true
                harness.served.single().respond()
                harness.connection.closeIfIdle()
                harness.receive(request("b").takeLast(3))
                harness.served.last().respond()
                harness.bodies() shouldBe listOf("answer a", "answer b")
            }
        }

        describe("a connection between an answer and the next request that was read") {
            it("counts as busy, and is closed neither as idle nor by a timeout") {
                val harness = CallerConnectionHarness()
                harness.receive(request("a") + request("b"))
                harness.served.single().respond()
                harness.connection.isBusy shouldBe true
                harness.connection.closeIfIdle()
                harness.advance(16.seconds)
                harness.runTasks()
                harness.served.last().respond()
                harness.bodies() shouldBe listOf("answer a", "answer b")
            }

            it("does not let a request that arrives then overtake the next one, whose answer would be lost") {
                val harness = CallerConnectionHarness()
                harness.receive(request("a") + request("b"))
                harness.served.single().respond()
                harness.receive(request("c"), runsTasks = false)
                harness.runTasks()
                harness.served.last().respond()
                harness.runTasks()
                harness.served.last().respond()
                harness.bodies() shouldBe listOf("answer a", "answer b", "answer c")
            }

            it("reads nothing any more once reading was stopped") {
                val harness = CallerConnectionHarness()
                harness.receive(request("a") + request("b"))
                harness.connection.stopReading()
                harness.served.single().respond()
                harness.runTasks()
                harness.receive(request("c"))
                harness.served.last().respond()
                harness.runTasks()
                harness.served.map { it.id } shouldBe listOf("a", "b")
                harness.bodies() shouldBe listOf("answer a", "answer b")
            }
        }

        describe("an empty line after a request") {
            it("is no request read in part, which would be refused unasked when the process ends") {
                val harness = CallerConnectionHarness { it.respond() }
                harness.receive(request("a") + "\r\n")
                harness.connection.isReading shouldBe false
                harness.connection.stopReading()
                harness.statuses shouldBe listOf(200)
            }

            it("does not spoil the request behind it") {
                val harness = CallerConnectionHarness { it.respond() }
                harness.receive(request("a") + "\r\n")
                harness.receive("\r\n" + request("b"))
                harness.bodies() shouldBe listOf("answer a", "answer b")
            }
        }

        describe("a request that is rejected unread behind another one") {
            it("gets its rejection after the answer of the other one") {
                val harness = CallerConnectionHarness()
                harness.receive(request("a") + bodyRequest("b", 30, "b".repeat(30)) + request("c"))
                harness.isOpen shouldBe true
                harness.served.single().respond()
                harness.runTasks()
                harness.statuses shouldBe listOf(200, 413)
                harness.served.map { it.id } shouldBe listOf("a")
                harness.isOpen shouldBe false
            }

            it("does not cut a stream before it") {
                val harness = CallerConnectionHarness()
                harness.receive(request("a"))
                harness.served.single().start()
                harness.receive("no request\r\n\r\n")
                harness.served.single().finish()
                harness.runTasks()
                harness.responses.map { it.status to it.isTruncated } shouldBe listOf(200 to false, 400 to false)
            }

            it("gets its rejection after the answers of all that were read before it") {
                val harness = CallerConnectionHarness()
                harness.receive(request("a") + request("b") + "no request\r\n\r\n")
                repeat(2) {
                    harness.served.last().respond()
                    harness.runTasks()
                }
                harness.statuses shouldBe listOf(200, 200, 400)
            }

            it("is not rejected for its slow body while the connection itself does not read") {
                val harness = CallerConnectionHarness()
                harness.receive((1..6).joinToString("") { request("r$it") } + bodyRequest("late", 5, "abc"))
                harness.receive("de")
                harness.advance(16.seconds)
                repeat(7) {
                    harness.served.last().respond()
                    harness.runTasks()
                }
                harness.statuses shouldBe List(7) { 200 }
            }
        }

        describe("an exception of the handler") {
            it("ends the request with status 502, because its outcome is unknown") {
                val harness = CallerConnectionHarness { if (it.id == "a") error("unexpected") }
                harness.receive(request("a"))
                harness.statuses shouldBe listOf(502)
                harness.failures shouldHaveSize 1
            }

            it("cuts neither the answer before it nor that behind it") {
                val harness = CallerConnectionHarness { if (it.id == "b") error("unexpected") }
                harness.receive(request("a") + request("b") + request("c"))
                harness.served.first().respond()
                harness.runTasks()
                harness.served.last().respond()
                harness.statuses shouldBe listOf(200, 502, 200)
            }

            it("does not cut a request in progress when it comes from the pipeline") {
                val harness = CallerConnectionHarness()
                harness.receive(request("a"))
                harness.channel.pipeline().fireExceptionCaught(IllegalStateException("unexpected"))
                harness.served.single().respond()
                harness.runTasks()
                harness.bodies() shouldBe listOf("answer a")
                harness.isOpen shouldBe false
            }
        }

        describe("a connection while the limits change") {
            it("stays open for the idle timeout under which it was last used") {
                val harness = CallerConnectionHarness()
                harness.receive(request("a"))
                harness.served.single().respond()
                harness.limits = harness.limits.copy(idleTimeout = 2.seconds)
                harness.advance(10.seconds)
                harness.receive(request("b"))
                harness.served.last().respond()
                harness.statuses shouldBe listOf(200, 200)
                harness.advance(3.seconds)
                harness.isOpen shouldBe false
            }

            it("accepts a body that was begun under a higher limit, and one that a higher limit allows later") {
                val harness = CallerConnectionHarness()
                harness.receive(bodyRequest("a", 10, "abc"))
                harness.limits = harness.limits.copy(bodyBytes = 5)
                harness.receive("abcdefg")
                harness.served.single().respond()
                harness.limits = harness.limits.copy(bodyBytes = 50)
                harness.receive(bodyRequest("b", 30, "b".repeat(30)))
                harness.served.last().respond()
                harness.statuses shouldBe listOf(200, 200)
            }

            it("accepts a head that a higher limit allows later") {
                val harness = CallerConnectionHarness()
                harness.receive(request("a"))
                harness.served.single().respond()
                harness.limits = harness.limits.copy(headerBytes = 2_000)
                harness.receive(request("b", "X-Long: ${"b".repeat(1_000)}\r\n"))
                harness.served.last().respond()
                harness.statuses shouldBe listOf(200, 200)
            }
        }

        describe("a caller that disconnects") {
            it("ends the request in progress and those behind it") {
                val harness = CallerConnectionHarness()
                harness.receive(request("a") + request("b"))
                harness.channel.close()
                harness.runTasks()
                harness.served.map { it.id to it.isDisconnected } shouldBe listOf("a" to true)
                harness.failures.shouldBeEmpty()
            }
        }
    })
