package org.bilberryhead.core.common

import kotlinx.serialization.Serializable

/**
 * Address of a listening socket.
 *
 * @property host IP address; names are not resolved
 * @property port TCP port, 1 to 65535
 */
@Serializable
data class SocketAddress(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"
}
