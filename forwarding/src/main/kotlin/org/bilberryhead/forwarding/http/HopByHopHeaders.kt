package org.bilberryhead.forwarding.http

import io.netty.handler.codec.http.HttpHeaders

/** Headers that concern one connection only. */
internal object HopByHopHeaders {
    private val names = setOf(
        "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer",
        "transfer-encoding", "upgrade", "expect", "content-length",
    )

    /** Copies the headers of [from] that concern the whole way to [to], but for those in [without] (lower case). */
    fun copyEndToEnd(from: HttpHeaders, to: HttpHeaders, without: Set<String> = emptySet()) {
        val named = from.getAll("Connection").flatMap { it.split(',') }.mapTo(mutableSetOf()) { it.trim().lowercase() }
        for ((name, value) in from) {
            val key = name.lowercase()
            if (key !in names && key !in named && key !in without) to.add(name, value)
        }
    }
}
