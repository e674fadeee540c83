package org.bilberryhead.forwarding.caller

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import org.bilberryhead.core.memory.BlockBuffer
import org.bilberryhead.core.memory.BodyAdmission
import org.bilberryhead.core.memory.BodyClaim
import org.bilberryhead.core.memory.BodyDecision
import org.bilberryhead.forwarding.http.RequestBody
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** A complete body, and the memory that is reserved for it. */
internal class HeldBody(val body: RequestBody, val claim: BodyClaim)

/**
 * The body of the request that is being read on a connection.
 *
 * @param onRoom called when a body that has waited for memory may be read
 */
internal class IncomingBody(private val admission: BodyAdmission, private val onRoom: () -> Unit) {
    private var blocks = BlockBuffer()
    private var claim = admission.newClaim(onRoom)
    private var waitEndsAt = Instant.DISTANT_FUTURE

    /** Number of bytes that have arrived. */
    val size: Int get() = blocks.size

    /** Whether the body may not be read yet. */
    val isWaiting: Boolean get() = claim.isWaiting

    /** Decides at [now] on the body of [request], of which at most [limit] bytes are read. */
    fun begin(request: HttpRequest, limit: Int, now: Instant): BodyDecision {
        drop()
        waitEndsAt = now + LONGEST_WAIT
        return claim.announce(HttpUtil.getContentLength(request, 0L).coerceIn(0L, limit.toLong()))
    }

    /** Appends [content]; returns false when there is no memory for it. */
    fun add(content: ByteBuf): Boolean {
        blocks.write(content.readableBytes(), content::readBytes)
        return claim.tryHold(blocks.size.toLong())
    }

    /** Whether the body has waited for memory for so long that its request is refused at [now]. */
    fun isWaitOver(now: Instant): Boolean = isWaiting && now >= waitEndsAt

    /** Returns the complete body, whose memory the connection no longer holds. */
    fun take(): HeldBody = HeldBody(RequestBody.of(blocks), claim).also { renew() }

    /** Gives up what has arrived. */
    fun drop() {
        claim.release()
        renew()
    }

    /** The connection would otherwise keep the memory of its largest body. */
    private fun renew() {
        blocks = BlockBuffer()
        claim = admission.newClaim(onRoom)
    }

    private companion object {
        /** A caller with a short timeout had better learn early that its request has not run. */
        val LONGEST_WAIT = 2.seconds
    }
}
