package org.bilberryhead.forwarding.http

import io.netty.handler.codec.http.HttpHeaders

/** HTTP headers that are meant for one connection only and are not forwarded. */
internal object HopByHopHeaders {
    private val names = setOf(
        "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer",
        "transfer-encoding", "upgrade", "expect", "content-length",
    )

    /** Copies the end-to-end headers of [from] to [to], except those in [without] (lower case). */
    fun copyEndToEnd(from: HttpHeaders, to: HttpHeaders, without: Set<String> = emptySet()) {
        val connectionOptions = from.getAll("Connection").flatMap { it.split(',') }
            .mapTo(mutableSetOf()) { it.trim().lowercase() }
        for ((name, value) in from) {
            val key = name.lowercase()
            if (key !in names && key !in connectionOptions && key !in without) to.add(name, value)
        }
    }
}
