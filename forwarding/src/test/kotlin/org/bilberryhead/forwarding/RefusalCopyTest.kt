package org.bilberryhead.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private typealias RefusalCopy = ScriptedEndpoint.Exchange.(refusal: String) -> Unit

/** Time between two parts of a response that arrive in separate reads, in milliseconds. */
private const val READ_MILLIS = 50L

/** Refuses requests [refusals] times and then runs them. Writes [copy] of the refusal when it runs one. */
private class RefusingEndpoint(private val status: String, private val refusals: Int, private val copy: RefusalCopy) {
    private val sends = AtomicInteger()
    val runs = AtomicInteger()

    fun handle(exchange: ScriptedEndpoint.Exchange) = with(exchange) {
        val refusal = "HTTP/1.1 $status\r\nX-Request-Id: $id\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nbusy"
        if (sends.getAndIncrement() < refusals) return write(refusal)
        runs.incrementAndGet()
        if (previousId == id) copy(refusal)
        respond(body = "ran")
    }
}

class RefusalCopyTest :
    DescribeSpec({
        val copies: Map<String, RefusalCopy> = mapOf(
            "whole" to { write(it) },
            "split over two reads" to {
                write(it.take(30))
                TimeUnit.MILLISECONDS.sleep(READ_MILLIS)
                write(it.drop(30))
            },
            "twice" to { write(it + it) },
            "without its id" to { write(it.replace("X-Request-Id: $id\r\n", "")) },
            "its end" to { write(it.takeLast(10)) },
        )

        describe("an endpoint that sends a copy of an earlier refusal when it runs the same request later") {
            for (status in listOf("503 Busy", "421 Misdirected Request", "429 Too Many Requests", "400 Bad Request")) {
                for ((description, copy) in copies) {
                    it("never has it taken for the response to the later one: $status, $description") {
                        val endpoint = RefusingEndpoint(status, refusals = 2, copy)
                        deploy({ endpoint.handle(this) }) { entry, _ ->
                            entry.get("/order/a").shouldNotBeNull().status shouldBe 503
                            endpoint.runs.get() shouldBe 0
                            entry.get("/order/a").shouldNotBeNull().body shouldBe "ran"
                            endpoint.runs.get() shouldBe 1
                        }
                    }
                }
            }

            it("is asked on another connection also when it accepts only one") {
                val endpoint = RefusingEndpoint("503 Busy", refusals = 1) { write(it) }
                ScriptedEndpoint { endpoint.handle(this) }.use { scripted ->
                    LoopbackDeployment(LoopbackDeployment.CONFIGURATION, mapOf("n" to listOf(scripted))).use { entry ->
                        entry.get("/narrow/a").shouldNotBeNull().status shouldBe 503
                        entry.get("/narrow/a").shouldNotBeNull().body shouldBe "ran"
                        endpoint.runs.get() shouldBe 1
                    }
                }
            }
        }

        describe("an endpoint that sends a copy of a refusal before the next request") {
            val early: Map<String, RefusalCopy> = mapOf(
                "in one write with it" to { write(it + it) },
                "right after it" to {
                    write(it)
                    write(it)
                },
                "later" to {
                    write(it)
                    TimeUnit.MILLISECONDS.sleep(READ_MILLIS)
                    write(it)
                },
            )
            for ((description, refuse) in early) {
                it("never has it taken for the response to another request or to the same: $description") {
                    val sends = AtomicInteger()
                    deploy({
                        val refusal =
                            "HTTP/1.1 503 Busy\r\nX-Request-Id: $id\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                        if (sends.getAndIncrement() < 2) refuse(refusal) else respond(body = "ran")
                    }) { entry, _ ->
                        entry.get("/order/a", id = "r").shouldNotBeNull().status shouldBe 503
                        for (id in listOf("r", "r1")) entry.get("/order/a", id).shouldNotBeNull().body shouldBe "ran"
                    }
                }
            }
        }
    })
