package org.bilberryhead.protocol

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.connection.MonitorTimings
import org.bilberryhead.core.message.Frame
import org.bilberryhead.core.message.Heartbeat
import org.bilberryhead.core.message.Hello
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.message.Welcome
import java.io.DataInputStream
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val timings = ProtocolTimings(
    watch = MonitorTimings(activeInterval = 50.milliseconds, receiveTimeout = 400.milliseconds),
    helloLimit = 400.milliseconds,
    clientSilenceLimit = 400.milliseconds,
    connectTimeout = 1.seconds,
    reconnectDelay = 10.milliseconds,
    maximumReconnectDelay = 50.milliseconds,
)
private val hello = Hello(MessageCodec.PROTOCOL_VERSION, DaemonId("entry-1"), TableVersion(1))
private val welcome = Welcome(DaemonId("sidecar-1"), Incarnation("run-1"), TableVersion(1))
private val anyFreePort = SocketAddress("127.0.0.1", 0)

private sealed interface Seen {
    data class Opened(val number: Long) : Seen
    data class Received(val number: Long, val message: Message) : Seen
    data class Closed(val number: Long) : Seen
}

private class RecordingServer(private val failOn: (Message) -> Boolean = { false }) : MessageServerHandler {
    val seen = Channel<Seen>(Channel.UNLIMITED)
    val senders = HashMap<Long, (Message) -> Boolean>()

    override fun welcome(hello: Hello) = welcome

    override fun heartbeat() = Heartbeat(TableVersion(1))

    override suspend fun onOpened(connection: Long, hello: Hello, send: (Message) -> Boolean) {
        senders[connection] = send
        seen.send(Seen.Opened(connection))
    }

    override suspend fun onMessage(connection: Long, message: Message) {
        if (failOn(message)) error("broken on purpose")
        if (message !is Heartbeat) seen.send(Seen.Received(connection, message))
    }

    override suspend fun onClosed(connection: Long) {
        seen.send(Seen.Closed(connection))
    }
}

private class RecordingClient(
    override val isAwaitingResponse: Boolean = false,
    override val idleInterval: Duration = 50.milliseconds,
) : MessageClientHandler {
    val opened = Channel<Welcome>(Channel.UNLIMITED)
    val messages = Channel<Message>(Channel.UNLIMITED)
    val lost = Channel<ProtocolError>(Channel.UNLIMITED)

    override fun hello() = hello

    override fun heartbeat() = Heartbeat(TableVersion(1))

    override suspend fun onOpened(welcome: Welcome) = opened.send(welcome)

    override suspend fun onMessage(message: Message) {
        if (message !is Heartbeat) messages.send(message)
    }

    override suspend fun onLost(error: ProtocolError) = lost.send(error)
}

private fun frame(number: Int, bytes: Int = 10) = Frame(AttemptId("a"), number, Payload(ByteArray(bytes)), last = false)

private fun prefixed(message: Message): ByteArray {
    val bytes = MessageCodec.encode(message)
    return byteArrayOf(
        (bytes.size shr 24).toByte(),
        (bytes.size shr 16).toByte(),
        (bytes.size shr 8).toByte(),
        bytes.size.toByte(),
    ) + bytes
}

private suspend fun <T> Channel<T>.next(): T = withTimeout(10.seconds) { receive() }

private val hostileBytes = mapOf(
    "garbage" to Random(7).nextBytes(2_000),
    "an HTTP request" to "GET / HTTP/1.1\r\nHost: x\r\n\r\n".encodeToByteArray(),
    "a length of zero" to ByteArray(4),
    "a negative length" to byteArrayOf(-1, -1, -1, -1),
    "a length past the limit" to byteArrayOf(0x7f, -1, -1, -1),
    "a length past the limit of a first message" to byteArrayOf(0, 2, 0, 0),
    "a well-framed message of garbage" to byteArrayOf(0, 0, 0, 3, 1, 2, 3),
    "another version of the protocol" to prefixed(hello.copy(protocolVersion = 99)),
    "a first message that is no hello" to prefixed(Heartbeat(TableVersion(1))),
    "a message that is cut off" to prefixed(hello).let { it.copyOf(it.size - 1) },
    "nothing at all" to ByteArray(0),
)

class MessageTransportTest :
    DescribeSpec({
        lateinit var scope: CoroutineScope
        lateinit var selectors: SelectorManager

        beforeEach {
            scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
            selectors = SelectorManager(Dispatchers.IO)
        }

        afterEach {
            scope.cancel()
            selectors.close()
        }

        suspend fun serverWith(handler: MessageServerHandler): MessageServer =
            MessageServer(anyFreePort, handler, scope, timings).also { it.start() }

        fun clientTo(address: SocketAddress, handler: MessageClientHandler): MessageClient =
            MessageClient(address, handler, selectors, scope, Clock.System, timings, Random(1)).also { it.start() }

        describe("a connection between two processes") {
            it("carries messages both ways in order") {
                val server = RecordingServer()
                val client = RecordingClient()
                val listening = serverWith(server)
                val connection = clientTo(listening.listenAddress, client)
                client.opened.next() shouldBe welcome
                val number = (server.seen.next() as Seen.Opened).number

                repeat(100) { connection.trySend(frame(it)) shouldBe true }
                repeat(100) { server.senders.getValue(number)(frame(it)) shouldBe true }

                List(100) { (server.seen.next() as Seen.Received).message } shouldContainExactly List(100) { frame(it) }
                List(100) { client.messages.next() } shouldContainExactly List(100) { frame(it) }
                listening.stop()
            }

            it("is opened again after the server has closed it") {
                val server = RecordingServer()
                val client = RecordingClient()
                val first = serverWith(server)
                clientTo(first.listenAddress, client)
                client.opened.next()
                val address = first.listenAddress

                first.stop()
                client.lost.next()
                val second = MessageServer(address, server, scope, timings)
                second.start()

                client.opened.next() shouldBe welcome
                second.stop()
            }

            it("delivers everything that is queued before an orderly end") {
                val server = RecordingServer()
                val client = RecordingClient()
                val listening = serverWith(server)
                clientTo(listening.listenAddress, client)
                client.opened.next()
                val send = server.senders.getValue((server.seen.next() as Seen.Opened).number)

                repeat(200) { send(frame(it, bytes = 20_000)) shouldBe true }
                listening.finish(5.seconds)

                List(200) { (client.messages.next() as Frame).number } shouldContainExactly List(200) { it }
            }
        }

        describe("a peer that goes silent") {
            it("is given up by the client although its TCP connection stays open, and senders are never blocked") {
                val client = RecordingClient()
                withContext(Dispatchers.IO) {
                    ServerSocket(0, 10, InetAddress.getLoopbackAddress()).use { silent ->
                        val connection = clientTo(SocketAddress("127.0.0.1", silent.localPort), client)
                        silent.accept().use { socket ->
                            readMessage(socket)
                            socket.getOutputStream().write(prefixed(welcome))
                            client.opened.next()

                            var refused = false
                            repeat(1_000) { refused = !connection.trySend(frame(it, bytes = 100_000)) || refused }

                            refused shouldBe true
                            client.lost.next() shouldBe ProtocolError.Silent
                            silent.accept().use { again -> readMessage(again).shouldBeInstanceOf<Hello>() }
                        }
                        connection.stop()
                    }
                }
            }

            it("is given up by the server, which tells its handler") {
                val server = RecordingServer()
                val listening = serverWith(server)
                withContext(Dispatchers.IO) {
                    Socket("127.0.0.1", listening.listenAddress.port).use { socket ->
                        socket.getOutputStream().write(prefixed(hello))
                        val number = (server.seen.next() as Seen.Opened).number

                        server.seen.next() shouldBe Seen.Closed(number)
                    }
                }
                listening.stop()
            }
        }

        describe("hostile bytes") {
            for ((what, bytes) in hostileBytes) {
                it("are answered by closing the connection, and others are still served: $what") {
                    val server = RecordingServer()
                    val client = RecordingClient()
                    val listening = serverWith(server)

                    withContext(Dispatchers.IO) {
                        Socket("127.0.0.1", listening.listenAddress.port).use { socket ->
                            socket.getOutputStream().write(bytes)
                            isClosedByPeer(socket) shouldBe true
                        }
                    }

                    clientTo(listening.listenAddress, client)
                    client.opened.next() shouldBe welcome
                    listening.stop()
                }
            }
        }

        describe("a handler that fails on one connection") {
            it("loses that connection only") {
                val server = RecordingServer(failOn = { it is Frame && it.number == 13 })
                val good = RecordingClient()
                val bad = RecordingClient()
                val listening = serverWith(server)
                val goodConnection = clientTo(listening.listenAddress, good)
                good.opened.next()
                val goodNumber = (server.seen.next() as Seen.Opened).number
                val badConnection = clientTo(listening.listenAddress, bad)
                bad.opened.next()
                val badNumber = (server.seen.next() as Seen.Opened).number

                badConnection.trySend(frame(13))
                server.seen.next() shouldBe Seen.Closed(badNumber)
                badConnection.stop()
                goodConnection.trySend(frame(1))

                server.seen.next() shouldBeIn listOf(Seen.Received(goodNumber, frame(1)), Seen.Opened(badNumber + 1))
                good.lost.tryReceive().isSuccess shouldBe false
                listening.stop()
            }
        }

        describe("a message that is larger than allowed") {
            it("is not sent, and the connection goes on") {
                val server = RecordingServer()
                val client = RecordingClient()
                val listening = serverWith(server)
                val connection = clientTo(listening.listenAddress, client)
                client.opened.next()
                server.seen.next()

                connection.trySend(frame(0, bytes = MessageCodec.MAXIMUM_MESSAGE_BYTES)) shouldBe false
                connection.trySend(frame(1)) shouldBe true

                (server.seen.next() as Seen.Received).message shouldBe frame(1)
                listening.stop()
            }
        }
    })

private fun readMessage(socket: Socket): Message {
    val input = DataInputStream(socket.getInputStream())
    val bytes = ByteArray(input.readInt()).also { input.readFully(it) }
    return checkNotNull(MessageCodec.decode(bytes).component1())
}

private fun isClosedByPeer(socket: Socket): Boolean = try {
    socket.soTimeout = 10_000
    socket.getInputStream().read() < 0
} catch (_: java.net.SocketTimeoutException) {
    false
} catch (_: IOException) {
    true
}
