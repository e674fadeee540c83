package org.bilberryhead.core.testing

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

/**
 * Hands out ports of the loopback address that nothing listens on, each once. They lie below the ports that the kernel
 * gives to outgoing connections: a port from that range may be taken by a connection before its process starts to
 * listen, also by a process that tries to connect to the very port.
 */
object FreePorts {
    private const val FIRST = 15_000
    private const val COUNT = 17_000
    private const val STRIDE = 97L

    private val next = AtomicInteger((ProcessHandle.current().pid() * STRIDE % COUNT).toInt())

    /** Returns a port that was free a moment ago. */
    fun next(): Int = generateSequence { FIRST + next.getAndIncrement() % COUNT }.first(::isFree)

    private fun isFree(port: Int): Boolean = try {
        ServerSocket(port, 1, InetAddress.getLoopbackAddress()).use { true }
    } catch (_: IOException) {
        false
    }
}
