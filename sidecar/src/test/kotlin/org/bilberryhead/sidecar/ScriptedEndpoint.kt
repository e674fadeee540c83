package org.bilberryhead.sidecar

import java.io.DataInputStream
import java.io.IOException
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** An endpoint on a real socket that sends exactly what [respond] writes, and counts the calls that it receives. */
internal class ScriptedEndpoint(private val respond: (OutputStream) -> Unit) : AutoCloseable {
    private val server = ServerSocket(0, 100, InetAddress.getLoopbackAddress())
    val calls = AtomicInteger()
    val url = "http://127.0.0.1:${server.localPort}"

    init {
        thread(isDaemon = true) {
            try {
                while (true) server.accept().let { socket -> thread(isDaemon = true) { serve(socket) } }
            } catch (_: IOException) {
                // close() was called
            }
        }
    }

    override fun close() = server.close()

    private fun serve(socket: Socket): Unit = socket.use {
        val input = DataInputStream(socket.getInputStream().buffered())
        while (readRequest(input)) {
            calls.incrementAndGet()
            try {
                respond(socket.getOutputStream())
            } catch (_: IOException) {
                return
            }
        }
    }

    private fun readRequest(input: DataInputStream): Boolean {
        var length = 0
        while (true) {
            val line = readLine(input) ?: return false
            if (line.isEmpty()) break
            if (line.startsWith("Content-Length:", ignoreCase = true)) length = line.substringAfter(':').trim().toInt()
        }
        input.readFully(ByteArray(length))
        return true
    }

    private fun readLine(input: DataInputStream): String? {
        val line = StringBuilder()
        while (true) {
            val next = input.read()
            if (next < 0) return null
            if (next == '\n'.code) return line.toString().trimEnd('\r')
            line.append(next.toChar())
        }
    }

    companion object {
        fun response(status: String, body: ByteArray = ByteArray(0), vararg headers: String): (OutputStream) -> Unit =
            { output ->
                val headLines = listOf("HTTP/1.1 $status", "Content-Length: ${body.size}") + headers
                output.write((headLines.joinToString("\r\n") + "\r\n\r\n").encodeToByteArray())
                output.write(body)
                output.flush()
            }
    }
}
