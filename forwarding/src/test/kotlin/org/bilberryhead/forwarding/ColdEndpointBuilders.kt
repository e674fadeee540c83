package org.bilberryhead.forwarding

import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.serving.ColdStartLimit
import org.bilberryhead.core.serving.EndpointDirectory
import org.bilberryhead.core.serving.ServingPool
import org.bilberryhead.forwarding.endpoint.ColdEndpoints

/** What the only entry of a deployment knows about cold endpoints. */
internal fun coldEndpoints(
    thread: EventThread,
    directory: EndpointDirectory,
    pools: (PoolName) -> ServingPool? = { null },
): ColdEndpoints {
    val own = DaemonId("entry")
    return ColdEndpoints(
        thread,
        directory,
        pools,
        DecisionLog(linesPerSecond = 10, thread::now),
        ColdStartLimit(own) { listOf(own) },
    )
}
