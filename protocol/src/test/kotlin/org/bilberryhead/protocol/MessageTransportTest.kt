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
    monitor = MonitorTimings(activeInterval = 50.milliseconds, receiveTimeout = 400.milliseconds),
    handshakeTimeout = 400.milliseconds,
    clientSilenceTimeout = 400.milliseconds,
    connectTimeout = 1.seconds,
    initialReconnectDelay = 10.milliseconds,
    maximumReconnectDelay = 50.milliseconds,
)
private val hello = Hello(MessageCodec.PROTOCOL_VERSION, DaemonId("entry-1"), TableVersion(1))
private val welcome = Welcome(DaemonId("sidecar-1"), Incarnation("run-1"), TableVersion(1))
private val anyLoopbackPort = SocketAddress("127.0.0.1", 0)

private sealed interface ServerEvent {
    data class Opened(val number: Long) : ServerEvent
    data class Received(val number: Long, val message: Message) : ServerEvent
    data class Closed(val number: Long) : ServerEvent
}

private class RecordingServerHandler(private val failOn: (Message) -> Boolean = { false }) : MessageServerHandler {
    val events = Channel<ServerEvent>(Channel.UNLIMITED)
    val senders = HashMap<Long, (Message) -> Boolean>()

    override fun welcome(hello: Hello) = welcome

    override fun heartbeat() = Heartbeat(TableVersion(1))

    override suspend fun onOpened(connection: Long, hello: Hello, send: (Message) -> Boolean) {
        senders[connection] = send
        events.send(ServerEvent.Opened(connection))
    }

    override suspend fun onMessage(connection: Long, message: Message) {
        if (failOn(message)) error("expected test failure")
        if (message !is Heartbeat) events.send(ServerEvent.Received(connection, message))
    }

    override suspend fun onClosed(connection: Long) {
        events.send(ServerEvent.Closed(connection))
    }
}

private class RecordingClientHandler(
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

private fun withLengthPrefix(message: Message): ByteArray {
    val bytes = MessageCodec.encode(message)
    return byteArrayOf(
        (bytes.size shr 24).toByte(),
        (bytes.size shr 16).toByte(),
        (bytes.size shr 8).toByte(),
        bytes.size.toByte(),
    ) + bytes
}

private suspend fun <T> Channel<T>.next(): T = withTimeout(10.seconds) { receive() }

private val invalidBytes = mapOf(
    "garbage" to Random(7).nextBytes(2_000),
    "an HTTP request" to "GET / HTTP/1.1\r\nHost: x\r\n\r\n".encodeToByteArray(),
    "a length of zero" to ByteArray(4),
    "a negative length" to byteArrayOf(-1, -1, -1, -1),
    "a length above the maximum" to byteArrayOf(0x7f, -1, -1, -1),
    "a length above the maximum of a first message" to byteArrayOf(0, 2, 0, 0),
    "garbage with a valid length prefix" to byteArrayOf(0, 0, 0, 3, 1, 2, 3),
    "another version of the protocol" to withLengthPrefix(hello.copy(protocolVersion = 99)),
    "a first message other than a hello" to withLengthPrefix(Heartbeat(TableVersion(1))),
    "a truncated message" to withLengthPrefix(hello).let { it.copyOf(it.size - 1) },
    "no bytes" to ByteArray(0),
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
            MessageServer(anyLoopbackPort, handler, scope, timings).also { it.start() }

        fun clientTo(address: SocketAddress, handler: MessageClientHandler): MessageClient =
            MessageClient(address, handler, selectors, scope, Clock.System, timings, Random(1)).also { it.start() }

        describe("a connection between two processes") {
            it("carries messages in both directions in order") {
                val serverHandler = RecordingServerHandler()
                val clientHandler = RecordingClientHandler()
                val server = serverWith(serverHandler)
                val client = clientTo(server.listenAddress, clientHandler)
                clientHandler.opened.next() shouldBe welcome
                val number = (serverHandler.events.next() as ServerEvent.Opened).number

                repeat(100) { client.trySend(frame(it)) shouldBe true }
                repeat(100) { serverHandler.senders.getValue(number)(frame(it)) shouldBe true }

                List(100) { (serverHandler.events.next() as ServerEvent.Received).message } shouldContainExactly
                    List(100) { frame(it) }
                List(100) { clientHandler.messages.next() } shouldContainExactly List(100) { frame(it) }
                server.stop()
            }

            it("is reopened after the server has closed it") {
                val serverHandler = RecordingServerHandler()
                val clientHandler = RecordingClientHandler()
                val first = serverWith(serverHandler)
                clientTo(first.listenAddress, clientHandler)
                clientHandler.opened.next()
                val address = first.listenAddress

                first.stop()
                clientHandler.lost.next()
                val second = MessageServer(address, serverHandler, scope, timings)
                second.start()

                clientHandler.opened.next() shouldBe welcome
                second.stop()
            }

            it("delivers every queued message before a graceful stop") {
                val serverHandler = RecordingServerHandler()
                val clientHandler = RecordingClientHandler()
                val server = serverWith(serverHandler)
                clientTo(server.listenAddress, clientHandler)
                clientHandler.opened.next()
                val send = serverHandler.senders.getValue((serverHandler.events.next() as ServerEvent.Opened).number)

                repeat(200) { send(frame(it, bytes = 20_000)) shouldBe true }
                server.stopGracefully(5.seconds)

                List(200) { (clientHandler.messages.next() as Frame).number } shouldContainExactly List(200) { it }
            }
        }

        describe("a peer that sends no more messages") {
            it("is disconnected by the client although its TCP connection stays open, and senders never block") {
                val clientHandler = RecordingClientHandler()
                withContext(Dispatchers.IO) {
                    ServerSocket(0, 10, InetAddress.getLoopbackAddress()).use { silentServer ->
                        val client = clientTo(SocketAddress("127.0.0.1", silentServer.localPort), clientHandler)
                        silentServer.accept().use { socket ->
                            readMessage(socket)
                            socket.getOutputStream().write(withLengthPrefix(welcome))
                            clientHandler.opened.next()

                            var isRejected = false
                            repeat(1_000) { isRejected = !client.trySend(frame(it, bytes = 100_000)) || isRejected }

                            isRejected shouldBe true
                            clientHandler.lost.next() shouldBe ProtocolError.Silent
                            silentServer.accept().use { reconnected ->
                                readMessage(reconnected).shouldBeInstanceOf<Hello>()
                            }
                        }
                        client.stop()
                    }
                }
            }

            it("is disconnected by the server, which notifies its handler") {
                val serverHandler = RecordingServerHandler()
                val server = serverWith(serverHandler)
                withContext(Dispatchers.IO) {
                    Socket("127.0.0.1", server.listenAddress.port).use { socket ->
                        socket.getOutputStream().write(withLengthPrefix(hello))
                        val number = (serverHandler.events.next() as ServerEvent.Opened).number

                        serverHandler.events.next() shouldBe ServerEvent.Closed(number)
                    }
                }
                server.stop()
            }
        }

        describe("invalid bytes") {
            for ((description, bytes) in invalidBytes) {
                it("close their connection, and other connections are still served: $description") {
                    val serverHandler = RecordingServerHandler()
                    val clientHandler = RecordingClientHandler()
                    val server = serverWith(serverHandler)

                    withContext(Dispatchers.IO) {
                        Socket("127.0.0.1", server.listenAddress.port).use { socket ->
                            socket.getOutputStream().write(bytes)
                            isClosedByPeer(socket) shouldBe true
                        }
                    }

                    clientTo(server.listenAddress, clientHandler)
                    clientHandler.opened.next() shouldBe welcome
                    server.stop()
                }
            }
        }

        describe("a handler that throws on one connection") {
            it("closes only that connection") {
                val serverHandler = RecordingServerHandler(failOn = { it is Frame && it.number == 13 })
                val goodHandler = RecordingClientHandler()
                val badHandler = RecordingClientHandler()
                val server = serverWith(serverHandler)
                val goodClient = clientTo(server.listenAddress, goodHandler)
                goodHandler.opened.next()
                val goodNumber = (serverHandler.events.next() as ServerEvent.Opened).number
                val badClient = clientTo(server.listenAddress, badHandler)
                badHandler.opened.next()
                val badNumber = (serverHandler.events.next() as ServerEvent.Opened).number

                badClient.trySend(frame(13))
                serverHandler.events.next() shouldBe ServerEvent.Closed(badNumber)
                badClient.stop()
                goodClient.trySend(frame(1))

                serverHandler.events.next() shouldBeIn
                    listOf(ServerEvent.Received(goodNumber, frame(1)), ServerEvent.Opened(badNumber + 1))
                goodHandler.lost.tryReceive().isSuccess shouldBe false
                server.stop()
            }
        }

        describe("a message above the maximum size") {
            it("is not sent, and the connection stays open") {
                val serverHandler = RecordingServerHandler()
                val clientHandler = RecordingClientHandler()
                val server = serverWith(serverHandler)
                val client = clientTo(server.listenAddress, clientHandler)
                clientHandler.opened.next()
                serverHandler.events.next()

                client.trySend(frame(0, bytes = MessageCodec.MAXIMUM_MESSAGE_BYTES)) shouldBe false
                client.trySend(frame(1)) shouldBe true

                (serverHandler.events.next() as ServerEvent.Received).message shouldBe frame(1)
                server.stop()
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
