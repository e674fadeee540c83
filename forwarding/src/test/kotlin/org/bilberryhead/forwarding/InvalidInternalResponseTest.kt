package org.bilberryhead.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.forwarding.peer.PeerCodec
import org.bilberryhead.forwarding.peer.SnapshotMessage
import java.util.Base64
import java.util.concurrent.atomic.AtomicInteger

/** Calls after which the entry has tried more than once to read what it needs. */
private const val SEVERAL_CALLS = 6

/** Responses that are invalid although their bodies are sound. */
private val invalidResponses: Map<String, (body: ByteArray) -> ByteArray> = mapOf(
    "with the status 000" to { body ->
        "HTTP/1.1 000 Unknown\r\nContent-Length: ${body.size}\r\n\r\n".encodeToByteArray() + body
    },
    "with a blank in the name of a field" to { body ->
        "HTTP/1.1 200 OK\r\nX-No te: a\r\nContent-Length: ${body.size}\r\n\r\n".encodeToByteArray() + body
    },
    "with a blank after the length of a chunk" to { body ->
        val head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${body.size.toString(radix = 16)} \r\n"
        head.encodeToByteArray() + body + "\r\n0\r\n\r\n".encodeToByteArray()
    },
)

private val ScriptedEndpoint.socketAddress: SocketAddress
    get() = SocketAddress(HOST, address.substringAfter(':').toInt())

private val rowsWithConfiguration: ByteArray = run {
    val configuration = Base64.getEncoder().encodeToString(LoopbackDeployment.CONFIGURATION.encodeToByteArray())
    """{"rows":[{"key":"config","value":"$configuration","ver":1}],"truncated":false,"ver":1}""".encodeToByteArray()
}

private val snapshotWithConfiguration: ByteArray = PeerCodec.encode(
    SnapshotMessage.serializer(),
    SnapshotMessage(LoopbackDeployment.CONFIGURATION, endpoints = emptyMap(), ageMs = 0),
)

/** Returns the status of an unknown path: 404 when the entry has a configuration, 503 when it has none. */
private fun LoopbackDeployment.statusOfUnknownPath(): Int? = get("/unknown/a").shouldNotBeNull().status

class InvalidInternalResponseTest :
    DescribeSpec({
        for ((description, invalid) in invalidResponses) {
            describe("a response $description") {
                it("never gives the entry a configuration when the store sends it") {
                    ScriptedEndpoint { write(invalid(rowsWithConfiguration)) }.use { store ->
                        LoopbackDeployment(null, emptyMap(), storeAddress = store.socketAddress).use { entry ->
                            repeat(SEVERAL_CALLS) { store.awaitRequest() }
                            entry.statusOfUnknownPath() shouldBe 503
                        }
                    }
                }

                it("never gives the entry a configuration when another entry sends it") {
                    ScriptedEndpoint { write(invalid(snapshotWithConfiguration)) }.use { peer ->
                        val seeds = listOf(peer.socketAddress)
                        LoopbackDeployment(null, emptyMap(), seeds, storeAddress = freeAddress()).use { entry ->
                            repeat(SEVERAL_CALLS) { peer.awaitRequest() }
                            entry.statusOfUnknownPath() shouldBe 503
                        }
                    }
                }

                it("never gives a request inputs when the endpoint of a stage sends it") {
                    val calls = AtomicInteger()
                    val stage = ScriptedEndpoint {
                        when {
                            "stage-run" !in request.head -> respond(headers = "")
                            calls.getAndIncrement() > 0 -> respond(body = itemsWith("sound"), headers = "")
                            else -> write(invalid(itemsWith("invalid").encodeToByteArray()))
                        }
                    }
                    val engine = ScriptedEndpoint {
                        startStream()
                        sendChunk(SoundEvents.BOTH)
                        endStream()
                    }
                    val pools = mapOf("p" to listOf(engine), "s" to listOf(stage))
                    LoopbackDeployment(LoopbackDeployment.CONFIGURATION, pools).use { entry ->
                        val headers = "X-Pieces: 1,0\r\nX-Piece-Key: key\r\n"
                        entry.get("/staged/a", headers = headers).shouldNotBeNull()
                        engine.requests.forEach { it.header("X-Inputs").orEmpty() shouldNotContain "invalid" }
                    }
                    stage.close()
                    engine.close()
                }
            }
        }

        describe("the bodies of these responses") {
            it("give the entry a configuration when the store or another entry sends them in a sound response") {
                val sound = "HTTP/1.1 200 OK\r\nContent-Length: ".encodeToByteArray()
                fun soundOf(body: ByteArray) = sound + "${body.size}\r\n\r\n".encodeToByteArray() + body
                ScriptedEndpoint { write(soundOf(rowsWithConfiguration)) }.use { store ->
                    LoopbackDeployment(null, emptyMap(), storeAddress = store.socketAddress).use { entry ->
                        repeat(SEVERAL_CALLS) { store.awaitRequest() }
                        entry.statusOfUnknownPath() shouldBe 404
                    }
                }
                ScriptedEndpoint { write(soundOf(snapshotWithConfiguration)) }.use { peer ->
                    val seeds = listOf(peer.socketAddress)
                    LoopbackDeployment(null, emptyMap(), seeds, storeAddress = freeAddress()).use { entry ->
                        repeat(SEVERAL_CALLS) { peer.awaitRequest() }
                        entry.statusOfUnknownPath() shouldBe 404
                    }
                }
            }
        }
    })

private fun itemsWith(handle: String) = """{"items":[{"handle":"127.0.0.1:9/$handle"}]}"""
