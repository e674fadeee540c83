package org.bilberryhead.core.serving

/** How a response states where its body ends. */
enum class BodyFraming {
    /** The response has no body whatever its headers say, as one to HEAD or one with status 204 or 304. */
    NO_BODY,

    /** The head states the length of the body. */
    LENGTH,

    /** The body ends with its last chunk. */
    CHUNKS,

    /** The body ends with its connection. */
    END_OF_CONNECTION,
}

/** How the bytes of a response ended. */
enum class ByteEnd {
    /** The end that the head or the chunks announced was received, whatever the connection does afterwards. */
    ANNOUNCED,

    /** The endpoint closed the connection in order before an announced end. */
    CLOSE,

    /** The connection broke before an announced end. */
    RESET,
}

/** The last place of a response that was received when its bytes ended. */
enum class ResponsePlace {
    BEFORE_STATUS_LINE,
    INSIDE_HEAD,

    /** The head is whole, and no byte of a body was received. */
    AFTER_HEAD,

    /** Some of a plain body was received. */
    INSIDE_BODY,

    /** The last event of a stream is not whole. */
    INSIDE_EVENT,

    /** At least one event of a stream was received, and the last one is whole. */
    AFTER_EVENT,
}

/** The kind of a response, as far as it decides what its end means. */
enum class ResponseKind {
    /** Anything but a stream of events. */
    PLAIN,

    /** A stream of events of which the caller has been sent none. */
    STREAM,

    /** The rest of a stream of which the caller has been sent events that another endpoint sent. */
    CONTINUED_STREAM,
}

/** What the end of a response means. */
enum class ResponseVerdict {
    /** The response is whole. */
    COMPLETE,

    /** The response broke off; another endpoint may repeat or resume it where [RepeatRule] allows that. */
    BROKEN,

    /** The response broke off for the caller, and no other endpoint is asked. */
    BROKEN_FINAL,
}

/** Decides whether a response whose bytes have ended is complete: only one whose end was seen is. */
object ResponseEnd {
    /**
     * Returns what it means that the bytes of a response of [kind] ended at [place] with [end].
     *
     * A connection closed in order ends a body that has no other end, but never one within an event and never a stream
     * without any event, as an endpoint sends at least one. A continued stream that an endpoint ends explicitly without
     * an event is final: nothing says whether the caller has received the last event, and another endpoint would not
     * know it either.
     */
    fun verdictOf(kind: ResponseKind, framing: BodyFraming, place: ResponsePlace, end: ByteEnd): ResponseVerdict =
        when {
            !isWhole(framing, place, end) -> ResponseVerdict.BROKEN
            kind == ResponseKind.PLAIN || framing == BodyFraming.NO_BODY -> ResponseVerdict.COMPLETE
            place == ResponsePlace.INSIDE_EVENT -> ResponseVerdict.BROKEN
            place == ResponsePlace.AFTER_EVENT -> ResponseVerdict.COMPLETE
            framing == BodyFraming.END_OF_CONNECTION -> ResponseVerdict.BROKEN
            kind == ResponseKind.CONTINUED_STREAM -> ResponseVerdict.BROKEN_FINAL
            else -> ResponseVerdict.COMPLETE
        }

    /** Returns whether the bytes of a response are all there, as far as its [framing] tells. */
    fun isWhole(framing: BodyFraming, place: ResponsePlace, end: ByteEnd): Boolean = when (place) {
        ResponsePlace.BEFORE_STATUS_LINE, ResponsePlace.INSIDE_HEAD -> false
        else -> when (end) {
            ByteEnd.ANNOUNCED -> framing != BodyFraming.END_OF_CONNECTION
            ByteEnd.CLOSE -> framing == BodyFraming.END_OF_CONNECTION
            ByteEnd.RESET -> false
        }
    }
}
