package org.bilberryhead.forwarding.request

import org.bilberryhead.core.serving.BodyFraming
import org.bilberryhead.core.serving.ByteEnd
import org.bilberryhead.core.serving.ResponseEnd
import org.bilberryhead.core.serving.ResponseKind
import org.bilberryhead.core.serving.ResponsePlace
import org.bilberryhead.core.serving.ResponseVerdict

/**
 * The end of a stream whose response is whole as far as its framing tells.
 *
 * @param hasEvent whether an event of this response has arrived
 * @param hasPartialEvent whether a part of an event has arrived whose rest has not
 * @param isContinued whether the caller has been sent events of the stream in this response to it
 */
internal class StreamEnd(
    private val framing: BodyFraming,
    hasEvent: Boolean,
    hasPartialEvent: Boolean,
    isContinued: Boolean,
) {
    /** The last place of the stream that was received. */
    val place: ResponsePlace = when {
        hasPartialEvent -> ResponsePlace.INSIDE_EVENT
        hasEvent -> ResponsePlace.AFTER_EVENT
        else -> ResponsePlace.AFTER_HEAD
    }

    private val kind = if (isContinued) ResponseKind.CONTINUED_STREAM else ResponseKind.STREAM

    // A reset, or a close before an announced end, was reported as a failure of the exchange.
    private val end = if (framing == BodyFraming.END_OF_CONNECTION) ByteEnd.CLOSE else ByteEnd.ANNOUNCED

    /** What the end means. */
    val verdict: ResponseVerdict get() = ResponseEnd.verdictOf(kind, framing, place, end)
}
