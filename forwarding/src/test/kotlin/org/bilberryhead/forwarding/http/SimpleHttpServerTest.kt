package org.bilberryhead.forwarding.http

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.bilberryhead.core.testing.http.readMessage
import org.bilberryhead.core.testing.http.writeText
import org.bilberryhead.forwarding.HOST
import org.bilberryhead.forwarding.freeAddress
import org.bilberryhead.forwarding.newEventThread
import java.io.InputStream
import java.net.Socket
import java.util.concurrent.TimeUnit

private fun InputStream.readHead(): String {
    val head = StringBuilder()
    while (!head.endsWith("\r\n\r\n")) head.append(read().also { check(it >= 0) }.toChar())
    return head.toString()
}

class SimpleHttpServerTest :
    DescribeSpec({
        describe("the response to HEAD on a kept connection") {
            it("has no body that would be read as the start of the next response") {
                val thread = newEventThread()
                val address = freeAddress()
                SimpleHttpServer(thread) { SimpleHttpResponse(status = 503, body = "not ready") }.listen(address)
                Socket(HOST, address.port).use {
                    it.soTimeout = 5_000
                    it.getOutputStream().writeText("HEAD /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                    it.getInputStream().readHead() shouldContain "content-length: 9"
                    it.getOutputStream().writeText("GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                    val response = checkNotNull(it.getInputStream().readMessage())
                    response.status shouldBe 503
                    response.body shouldBe "not ready"
                }
                thread.loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS)
            }
        }
    })
