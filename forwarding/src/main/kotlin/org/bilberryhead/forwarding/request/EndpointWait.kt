package org.bilberryhead.forwarding.request

import org.bilberryhead.forwarding.Timer
import kotlin.time.Duration

/**
 * The wait of [request] until an endpoint of its pool can take it. [dispatch] selects an endpoint again when one may
 * have become free or known, and at the end of a rest.
 */
internal class EndpointWait(
    private val request: AdmittedRequest,
    private val context: ServingContext,
    private val dispatch: () -> Unit,
) {
    private var waiter: ConnectionWaitQueue.Waiter? = null
    private var returnTimer: Timer? = null

    /**
     * Starts to wait, or waits on.
     *
     * @param isSelective whether the request does not use every endpoint of its pool, or waits where others do not
     * @param firstReturn time until the first endpoint of the pool is back when all of them rest; null otherwise
     */
    fun start(isSelective: Boolean, firstReturn: Duration?) {
        returnTimer?.cancel()
        returnTimer = firstReturn?.let { time ->
            context.thread.after(time) { context.connectionWaitQueue.dispatch(request.pool) }
        }
        if (waiter != null) return
        val newWaiter = ConnectionWaitQueue.Waiter(request.pool, request.priority, isSelective, dispatch)
        waiter = newWaiter
        context.connectionWaitQueue.add(newWaiter)
    }

    /** Ends the wait. */
    fun end() {
        returnTimer?.cancel()
        returnTimer = null
        waiter?.let(context.connectionWaitQueue::remove)
        waiter = null
    }
}
