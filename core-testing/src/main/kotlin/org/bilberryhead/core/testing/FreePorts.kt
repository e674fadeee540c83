package org.bilberryhead.core.testing

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

/**
 * Hands out loopback ports on which nothing listens, each only once per process. The ports lie below the kernel's
 * ephemeral range: a port from that range may be assigned to an outgoing connection before its process starts to
 * listen, even to a connection whose target is that very port.
 */
object FreePorts {
    private const val FIRST = 15_000
    private const val COUNT = 17_000

    /** Separates the ports of processes with adjacent ids. */
    private const val STRIDE = 97L

    private val next = AtomicInteger((ProcessHandle.current().pid() * STRIDE % COUNT).toInt())

    /** Returns a port on which nothing listened when it was checked. */
    fun next(): Int = generateSequence { FIRST + next.getAndIncrement() % COUNT }.first(::isFree)

    private fun isFree(port: Int): Boolean = try {
        ServerSocket(port, 1, InetAddress.getLoopbackAddress()).use { true }
    } catch (_: IOException) {
        false
    }
}
