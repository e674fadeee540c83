package org.bilberryhead.forwarding.stage

import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.serving.EndpointEntry
import org.bilberryhead.core.serving.ResultHandle
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.http.ResponseHead
import org.bilberryhead.forwarding.http.SingleExchange
import kotlin.time.Duration

/** Services and state of the process that a [StageScheduler] uses. */
internal interface StageContext {
    val thread: EventThread
    val exchange: SingleExchange
    val decisions: DecisionLog

    /** Requests the endpoints to drop the results at [handles]; [onReleased] is called for each that was dropped. */
    fun release(handles: List<ResultHandle>, onReleased: (ResultHandle) -> Unit)

    /** Releases results of any pools through the coordinators of those pools. */
    fun releaseThroughCoordinators(handles: List<ResultHandle>)

    /** Whether this entry is draining. */
    val isDraining: Boolean

    /** Returns the endpoints of [pool] that accept new work. */
    fun usableEndpoints(pool: PoolName): List<EndpointEntry>

    /** Returns the time until the first endpoint of [pool] is back when all of them rest; null otherwise. */
    fun timeUntilFirstReturn(pool: PoolName): Duration?

    /** Returns how many calls may be open at the endpoint of [entry]: few while it returns from a rest or is cold. */
    fun maximumCalls(entry: EndpointEntry): Int

    /** Counts a call that is sent to the endpoint of [entry] now. */
    fun callSent(entry: EndpointEntry)

    /** Returns why the endpoint of [entry] gets no new call, or null when it may be called. */
    fun obstacleTo(entry: EndpointEntry): String?

    /** Reads what the endpoint of [entry] says about itself in [head], the head of its response. */
    fun headReceived(entry: EndpointEntry, head: ResponseHead)
}
