package org.bilberryhead.forwarding

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.map
import io.kotest.property.checkAll
import org.bilberryhead.core.testing.http.RawMessage
import org.bilberryhead.core.testing.http.readMessage
import java.net.Socket
import java.nio.charset.Charset
import java.nio.charset.StandardCharsets

private const val NOTE = "X-Note: "
private const val PROPERTY_RUNS = 200

/** One character for each byte, as heads of messages are read in these tests. */
private val BYTES: Charset = StandardCharsets.ISO_8859_1

/** Every byte that may stand in a target and in a header, apart from blanks. */
private val anyBytes: Arb<String> =
    Arb.list(Arb.element((0x21..0x7e) + (0x80..0xff)), 1..40).map { codes ->
        codes.map { it.toChar() }.joinToString("")
    }

private val CONFIGURATION = """
    {"version":1,"routes":[
     {"name":"open","host":"h","prefix":"/open/","route_type":"idempotent","public":true,"service":"p"},
     {"name":"closed","host":"h","prefix":"/closed/","route_type":"idempotent","service":"p"},
     {"name":"cafe","host":"h","prefix":"/caf\u00e9/","route_type":"idempotent","public":true,"service":"p"}],
     "services":[{"name":"p","max_conns":40}],
     "tenants":[{"name":"Ploeg \u015a","api_keys":["k-s"]},{"name":"Ploeg \u017d","api_keys":["k-z"]},
      {"name":"Ploeg \u00e9","api_keys":["cl\u00e9 \u00e0"]},{"name":"office","api_keys":["k-office"]},
      {"name":"a\r\nX-Other: b","api_keys":["k-line"]},{"name":"a\u0000","api_keys":["k-zero"]},
      {"name":" a","api_keys":["k-first"]},{"name":"a ","api_keys":["k-last"]},{"name":"a\ud800","api_keys":["k-half"]}]}
""".trimIndent()

private fun String.onWire(): String = String(encodeToByteArray(), BYTES)

private fun Socket.exchange(target: String, id: String, headers: String = ""): RawMessage {
    val head = "GET $target HTTP/1.1\r\nHost: h\r\nX-Request-Id: $id\r\n$headers\r\n"
    getOutputStream().apply { write(head.toByteArray(BYTES)) }.flush()
    return getInputStream().readMessage().shouldNotBeNull()
}

private inline fun <T> useEntry(use: (LoopbackDeployment, ScriptedEndpoint) -> T): T {
    val endpoint = ScriptedEndpoint {
        val note = request.head.lines().firstOrNull { it.startsWith(NOTE) } ?: NOTE
        val headers = "X-Request-Id: $id\r\nX-Response-Stamp: s\r\n$note\r\nContent-Length: 0\r\n"
        write("HTTP/1.1 200 OK\r\n$headers\r\n".toByteArray(BYTES))
    }
    return endpoint.use { LoopbackDeployment(CONFIGURATION, mapOf("p" to listOf(it))).use { entry -> use(entry, it) } }
}

class UnchangedBytesTest :
    DescribeSpec({
        describe("bytes beyond ASCII in the head of a message") {
            it("reach the endpoint in the target and in a header, and come back in a header, as they were sent") {
                useEntry { entry, endpoint ->
                    entry.connect().use { caller ->
                        var number = 0
                        checkAll(PropTestConfig(iterations = PROPERTY_RUNS), anyBytes, anyBytes) { target, note ->
                            val response = caller.exchange("/open/$target", "r${number++}", "$NOTE$note\r\n")
                            val received = endpoint.awaitRequest().head.lines()
                            received.first() shouldBe "GET /open/$target HTTP/1.1"
                            received.filter { it.startsWith(NOTE, ignoreCase = true) } shouldBe listOf("$NOTE$note")
                            response.head.lines() shouldContain "$NOTE$note"
                        }
                    }
                }
            }

            it("match the prefix of a route whose UTF-8 text they are") {
                useEntry { entry, _ ->
                    entry.connect().use { it.exchange("/caf\u00e9/a".onWire(), "r1").status shouldBe 200 }
                }
            }
        }

        describe("the name of a client account") {
            it("reaches the endpoint as its UTF-8 bytes, so that two names never arrive as one") {
                useEntry { entry, endpoint ->
                    val names = mapOf(
                        "k-s" to "Ploeg \u015a",
                        "k-z" to "Ploeg \u017d",
                        "cl\u00e9 \u00e0" to "Ploeg \u00e9",
                        "k-office" to "office",
                    )
                    names.entries.forEachIndexed { number, (key, name) ->
                        withClue(key) {
                            entry.connect().use {
                                val response = it.exchange("/closed/a", "r$number", "X-Api-Key: ${key.onWire()}\r\n")
                                response.status shouldBe 200
                            }
                            endpoint.awaitRequest().head.lines() shouldContain "X-Tenant: ${name.onWire()}"
                        }
                    }
                }
            }

            it("that no header can carry has its requests refused as not run, also on public routes") {
                useEntry { entry, endpoint ->
                    for (key in listOf("k-line", "k-zero", "k-first", "k-last", "k-half")) {
                        for (path in listOf("/closed/a", "/open/a")) {
                            withClue("$key $path") {
                                val response = entry.connect().use { it.exchange(path, key, "X-Api-Key: $key\r\n") }
                                response.status shouldBe 503
                                response.header("Retry-After").shouldNotBeNull()
                            }
                        }
                    }
                    endpoint.requests.size shouldBe 0
                    entry.connect().use {
                        it.exchange("/closed/a", "r1", "X-Api-Key: k-office\r\n").status shouldBe 200
                    }
                }
            }
        }
    })
