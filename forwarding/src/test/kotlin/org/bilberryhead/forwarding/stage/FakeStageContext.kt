package org.bilberryhead.forwarding.stage

import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.serving.EndpointEntry
import org.bilberryhead.core.serving.ResultHandle
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.HOST
import org.bilberryhead.forwarding.ScriptedEndpoint
import org.bilberryhead.forwarding.http.Connector
import org.bilberryhead.forwarding.http.ResponseHead
import org.bilberryhead.forwarding.http.SingleExchange
import kotlin.time.Duration

internal fun addressOf(server: ScriptedEndpoint) = SocketAddress(HOST, server.address.substringAfter(':').toInt())

/** The services of a stage scheduler whose pools have [endpoint] only; releases of results are ignored. */
internal class FakeStageContext(
    override val thread: EventThread,
    connector: Connector,
    override val decisions: DecisionLog,
    private val endpoint: ScriptedEndpoint,
) : StageContext {
    override val exchange = SingleExchange(thread, connector)
    override val isDraining = false

    override fun release(handles: List<ResultHandle>, onReleased: (ResultHandle) -> Unit) = Unit

    override fun releaseThroughCoordinators(handles: List<ResultHandle>) = Unit

    override fun timeUntilFirstReturn(pool: PoolName): Duration? = null

    override fun maximumCalls(entry: EndpointEntry): Int = Int.MAX_VALUE

    override fun callSent(entry: EndpointEntry) = Unit

    override fun obstacleTo(entry: EndpointEntry): String? = null

    override fun headReceived(entry: EndpointEntry, head: ResponseHead) = Unit

    override fun usableEndpoints(pool: PoolName) = listOf(
        EndpointEntry(EndpointId("e"), pool, addressOf(endpoint), DataCentre("x"), 1, isDraining = false, 0),
    )
}
