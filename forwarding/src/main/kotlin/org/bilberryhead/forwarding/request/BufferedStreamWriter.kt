package org.bilberryhead.forwarding.request

import org.bilberryhead.core.memory.StreamBacklog
import org.bilberryhead.forwarding.Timer
import org.bilberryhead.forwarding.caller.CallerListener
import org.bilberryhead.forwarding.caller.ResponseWriter

/**
 * Writes the response of [request] to [caller], which may read more slowly than the endpoint sends: what it has not
 * taken is buffered, so that the endpoint can be read on. The response ends for the caller after what is buffered, and
 * at the deadline of the request at the latest.
 */
internal class BufferedStreamWriter(
    private val caller: ResponseWriter,
    private val request: AdmittedRequest,
    private val context: ServingContext,
) : ResponseWriter by caller,
    CallerListener {
    /** Is told when the caller disconnects, and when more can be read for it. */
    lateinit var listener: CallerListener

    private val backlog = StreamBacklog(context.memory)

    /** Whether the stream has ended: nothing follows what is buffered. */
    private var isEnding = false

    /** Ends the response once the backlog is empty; null before the end of the stream and after the call. */
    private var end: (() -> Unit)? = null
    private var deadlineTimer: Timer? = null
    private var isDelivering = false

    /** Whether anything has been buffered. */
    private var hasBeenBehind = false

    /** Bytes that may still be written since the caller has caught up. */
    private var room = 0

    /** Whether no more should be read for the caller, because there is no memory to buffer it. */
    override var isCongested = false
        private set

    private val mayWrite: Boolean get() = room > 0 || !caller.isCongested

    override fun write(bytes: ByteArray) {
        if (!caller.isOpen) return
        if (backlog.isEmpty && mayWrite) writeNow(bytes) else buffer(bytes)
        updateCongestion()
    }

    private fun writeNow(bytes: ByteArray) {
        room -= minOf(room, bytes.size)
        caller.write(bytes)
    }

    private fun buffer(bytes: ByteArray) {
        if (!hasBeenBehind) {
            hasBeenBehind = true
            context.decisions.write("slow caller") { mapOf("request" to request.id) }
        }
        backlog.add(bytes)
    }

    private fun updateCongestion() {
        val isBehind = !backlog.isEmpty || caller.isCongested
        isCongested = isBehind && !backlog.tryReserveRead()
        if (!isBehind) backlog.releaseRead()
    }

    override fun callerCaughtUp() {
        room = CAUGHT_UP_BYTES
        // The caller may catch up while it is written to.
        if (isDelivering) return
        deliver()
        if (isEnding) {
            if (backlog.isEmpty) runEnd()
        } else {
            updateCongestion()
            if (!isCongested || (backlog.isEmpty && mayWrite)) listener.callerCaughtUp()
        }
    }

    private fun deliver() {
        isDelivering = true
        try {
            while (mayWrite) writeNow(backlog.removeFirst() ?: return)
        } finally {
            isDelivering = false
        }
    }

    override fun finish() = endAfterBacklog {
        release()
        caller.finish()
    }

    override fun abort() {
        if (!hasBeenBehind) return cut()
        // Closing the connection would discard the events that the caller has yet to receive.
        endAfterBacklog { caller.whenSent(::cut) }
    }

    private fun endAfterBacklog(action: () -> Unit) {
        isEnding = true
        end = action
        backlog.releaseRead()
        if (hasBeenBehind) {
            deadlineTimer = context.thread.after(request.deadline - context.thread.now()) {
                recordLoss("the time of the request is over")
                cut()
            }
        }
        if (backlog.isEmpty) runEnd()
    }

    /** Ends the response once, although the caller may catch up again while it ends. */
    private fun runEnd() {
        val action = end ?: return
        end = null
        action()
    }

    private fun cut() {
        release()
        caller.abort()
    }

    override fun callerDisconnected() {
        if (isEnding) recordLoss("the caller has left")
        release()
        listener.callerDisconnected()
    }

    private fun recordLoss(reason: String) = context.decisions.write("buffered events dropped") {
        mapOf("request" to request.id, "reason" to reason)
    }

    private fun release() {
        deadlineTimer?.cancel()
        isCongested = false
        backlog.clear()
    }

    private companion object {
        /** The least that a caller has taken when it has caught up: the distance of Netty's default water marks. */
        const val CAUGHT_UP_BYTES = 32 * 1024
    }
}
