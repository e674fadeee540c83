package org.bilberryhead.forwarding.request

import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.serving.EnginePlacement
import org.bilberryhead.core.serving.RouteMatcher
import org.bilberryhead.core.serving.SharedRetryBudget
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.ForwardingMetrics
import org.bilberryhead.forwarding.endpoint.Endpoints
import org.bilberryhead.forwarding.stage.StageCoordinatorClient
import kotlin.random.Random

/** What serving a request needs of the process. All of it belongs to the event thread. */
internal class ServingContext(
    val thread: EventThread,
    val endpoints: Endpoints,
    val retryBudget: SharedRetryBudget,
    val placement: EnginePlacement,
    val stageClient: (PoolName) -> StageCoordinatorClient?,
    val connectionWaitQueue: ConnectionWaitQueue,
    val decisions: DecisionLog,
    val metrics: ForwardingMetrics,
    val random: Random,
) {
    /** The configuration in force, or null before the first is known. */
    var matcher: RouteMatcher? = null
}
