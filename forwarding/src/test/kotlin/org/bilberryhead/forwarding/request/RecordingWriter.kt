package org.bilberryhead.forwarding.request

import org.bilberryhead.forwarding.caller.ResponseWriter
import org.bilberryhead.forwarding.http.FullResponse
import org.bilberryhead.forwarding.http.ResponseHead
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** A caller that reads at once, and records the response. */
internal class RecordingWriter : ResponseWriter {
    val response = CompletableFuture<FullResponse?>()
    override val isOpen: Boolean get() = !response.isDone
    override val isCongested = false

    override fun send(response: FullResponse) {
        this.response.complete(response)
    }

    override fun start(head: ResponseHead) = Unit

    override fun write(bytes: ByteArray) = Unit

    override fun finish() = Unit

    override fun abort() {
        response.complete(null)
    }

    /** The status of the response, or null when none comes in time. */
    fun statusWithin(milliseconds: Long): Int? = try {
        response.get(milliseconds, TimeUnit.MILLISECONDS)?.head?.status
    } catch (_: TimeoutException) {
        // The caller would wait on.
        null
    }
}
