package org.bilberryhead.forwarding

import io.kotest.assertions.assertSoftly
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.testing.http.readMessage
import org.bilberryhead.forwarding.peer.PeerCodec
import org.bilberryhead.forwarding.peer.SnapshotMessage
import org.bilberryhead.platform.wire.EndpointEntryDecoder
import java.net.InetAddress
import java.net.ServerSocket
import java.util.Base64
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

/** Largest size of a row of the store, in bytes. */
private const val MAXIMUM_ROW_BYTES = 65_536

/** Number of characters of a row that are shown when it is not refused. */
private const val CLUE_LENGTH = 200

/** Time within which a change of the store is followed. */
private val FOLLOWED_WITHIN = 10.seconds

private fun encoded(bytes: ByteArray) = Base64.getEncoder().encodeToString(bytes)

private fun row(key: String, value: String, version: Int) =
    """{"key":"$key","value":"${encoded(value.encodeToByteArray())}","ver":$version}"""

/** Rows that name no server to use; every one that would be used names [address]. */
private class OddRows(private val address: String) {
    private val valid = serverRow(address)
    private val port = address.substringAfter(':')

    private val nested = listOf("[" to "]", "{\"a\":" to "}", "[{\"a\":" to "}]").flatMap { (open, close) ->
        val levels = MAXIMUM_ROW_BYTES / (open.length + close.length + 1)
        val closed = open.repeat(levels) + 1 + close.repeat(levels)
        listOf(
            closed,
            open.repeat(MAXIMUM_ROW_BYTES / open.length),
            valid.dropLast(1) + ""","more":${open.repeat(8_000)}1${close.repeat(8_000)}}""",
        )
    }

    private val numbers =
        listOf("1e400", "-1e400", "99999999999999999999", "2147483648", "2147483647", "-1", "0", "4.5") +
            listOf("\"4\"", "null", "true", "[4]", "{\"a\":4}", "NaN", "Infinity")

    private val startTimes = listOf("1e400", "99999999999999999999", "1.5", "\"1\"", "null", "[]", "true")

    private val addresses = listOf("0", "65536", "99999999999", "-1", "+$port", "").map { "127.0.0.1:$it" } +
        listOf("256.0.0.1", "127.0.0.999", "127.1", "localhost", "[::1]", "no-such-host.invalid").map { "$it:$port" } +
        listOf(" 127.0.0.1", "127.0.0.1 ", "127.0.0.01", "").map { "$it:$port" } + listOf("127.0.0.1", ":", "")

    /** Texts of rows, each under a key of its own. */
    val texts: List<String> = nested +
        numbers.map { valid.replace("\"slots\":4", "\"slots\":$it") } +
        startTimes.map { valid.replace("\"born\":1", "\"born\":$it") } +
        addresses.map { valid.replace(address, it) } +
        listOf("null", "[]", "{}", "1", "\"text\"", "", " ", "\u0000", valid.dropLast(1), "[$valid]", "$valid$valid") +
        listOf("service", "address", "zone", "slots", "state").flatMap { name ->
            val field = Regex(""""$name":("[^"]*"|\d+)""")
            listOf("null", "1.5", "[]", "{}").map { valid.replace(field, "\"$name\":$it") } +
                valid.replace(field, "\"other\":1") +
                (valid.dropLast(1) + ",\"$name\":null}")
        } +
        listOf(valid.replace("ready", "resting"), valid.replace("ready", "READY"))

    /** Rows whose keys no server can have. */
    private val oddKeys = listOf("", " ", "a b", "line\\r\\nX-More: 1", "\\u0000", "\\u007f", "ключ", "\\ud83d\\ude00")

    private fun rawRows(version: Int) = listOf(
        "null", "1", "[]", "{}", """{"key":1,"value":"aGk="}""", """{"key":null,"value":"aGk="}""",
        """{"key":"no-value","ver":$version}""", """{"key":"null-value","value":null,"ver":$version}""",
        """{"key":"a-number","value":1,"ver":$version}""", """{"key":"no-base64","value":"%%%","ver":$version}""",
        """{"key":"no-text","value":"${encoded(valid.encodeToByteArray().withInvalidByte())}","ver":$version}""",
        """{"key":"odd-removal","removed":"yes","value":[],"ver":"x"}""",
    )

    /** All rows as the store returns them, at [version]. */
    fun rows(version: Int): List<String> = texts.mapIndexed { index, text -> row("odd-$index", text, version) } +
        oddKeys.map { row(it, valid, version) } + rawRows(version)

    private fun ByteArray.withInvalidByte() = also { it[decodeToString().indexOf("\"x\"") + 1] = 0xff.toByte() }

    companion object {
        fun serverRow(address: String) =
            """{"service":"p","address":"$address","zone":"x","slots":4,"state":"ready","born":1}"""
    }
}

/** A store whose tables hold odd rows at once and as a later change, and replaces server `p-0` once [isChanged]. */
private class OddStore(private val odd: OddRows, private val before: String, private val after: String) {
    val isChanged = AtomicBoolean()

    fun respond(uri: String): String = when {
        "rows-get" in uri && "table=op" in uri ->
            answer(1, listOf(row("config", LoopbackDeployment.CONFIGURATION, 1)) + odd.rows(1))
        "rows-get" in uri && "table=servers" in uri ->
            answer(1, odd.rows(1) + row("p-0", OddRows.serverRow(before), 1))
        "rows-get" in uri -> answer(1, odd.rows(1))
        "after=1" in uri -> answer(2, odd.rows(2))
        "after=2" in uri && "table=servers" in uri && isChanged.get() -> answer(
            3,
            odd.rows(3) + row("p-1", OddRows.serverRow(after), 3) + """{"key":"p-0","removed":true,"ver":3}""",
        )
        else -> answer(uri.substringAfter("after=", "1").substringBefore('&').toInt(), emptyList())
    }

    private fun answer(version: Int, rows: List<String>) =
        """{"rows":[${rows.joinToString(",")}],"truncated":false,"ver":$version}"""
}

/** A peer that answers each call with [message]. */
private class SnapshotPeer(message: SnapshotMessage) : AutoCloseable {
    private val server = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    val address = SocketAddress("127.0.0.1", server.localPort)

    init {
        val body = PeerCodec.encode(SnapshotMessage.serializer(), message)
        thread(isDaemon = true) {
            while (!server.isClosed) {
                runCatching {
                    server.accept().use {
                        it.getInputStream().readMessage()
                        val head = "HTTP/1.1 200 OK\r\nContent-Length: ${body.size}\r\n\r\n"
                        it.getOutputStream().write(head.encodeToByteArray() + body)
                    }
                }
            }
        }
    }

    override fun close() = server.close()
}

class OddRowTest :
    DescribeSpec({
        describe("rows that another writer has written") {
            it("are decoded as no server, each by itself") {
                assertSoftly {
                    for (text in OddRows("127.0.0.1:8080").texts) {
                        withClue(text.take(CLUE_LENGTH)) { EndpointEntryDecoder.decode("odd", text) shouldBe null }
                    }
                }
            }

            it("name no server, and the rows beside them and the changes after them are followed") {
                ScriptedEndpoint { respond(body = "intruder") }.use { intruder ->
                    ScriptedEndpoint { respond(body = "before") }.use { before ->
                        ScriptedEndpoint { respond(body = "after") }.use { after ->
                            val store = OddStore(OddRows(intruder.address), before.address, after.address)
                            LoopbackDeployment(null, emptyMap(), storeResponse = store::respond).use { entry ->
                                eventually(FOLLOWED_WITHIN) { entry.isReady() shouldBe true }
                                repeat(40) { entry.get("/order/a", "r$it").shouldNotBeNull().body shouldBe "before" }
                                store.isChanged.set(true)
                                eventually(FOLLOWED_WITHIN) {
                                    entry.get("/lookup/a", "s").shouldNotBeNull().body shouldBe "after"
                                }
                                repeat(40) { entry.get("/order/a", "t$it").shouldNotBeNull().body shouldBe "after" }
                                intruder.requests.size shouldBe 0
                                entry.failureCount shouldBe 0
                            }
                        }
                    }
                }
            }

            for (members in listOf(-1, 0, Int.MAX_VALUE, Int.MIN_VALUE)) {
                it("name no server when they come from a peer, whatever else it says: $members members") {
                    ScriptedEndpoint { respond(body = "intruder") }.use { intruder ->
                        ScriptedEndpoint { respond(body = "found") }.use { endpoint ->
                            val odd = OddRows(intruder.address).texts.mapIndexed { index, text -> "odd-$index" to text }
                            val endpoints = odd.toMap() + ("p-0" to OddRows.serverRow(endpoint.address))
                            val snapshot =
                                SnapshotMessage(LoopbackDeployment.CONFIGURATION, endpoints, ageMs = 0, members)
                            SnapshotPeer(snapshot).use { peer ->
                                LoopbackDeployment(null, emptyMap(), listOf(peer.address), isStoreReachable = false)
                                    .use { entry ->
                                        repeat(20) {
                                            entry.get("/order/a", "r$it").shouldNotBeNull().body shouldBe "found"
                                        }
                                        intruder.requests.size shouldBe 0
                                        entry.failureCount shouldBe 0
                                    }
                            }
                        }
                    }
                }
            }
        }
    })
