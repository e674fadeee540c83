package org.bilberryhead.forwarding.request

import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.memory.MemoryBudget
import org.bilberryhead.core.serving.DrainAdmission
import org.bilberryhead.core.serving.EnginePlacement
import org.bilberryhead.core.serving.Hedging
import org.bilberryhead.core.serving.RouteMatcher
import org.bilberryhead.core.serving.SharedRetryBudget
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.ForwardingMetrics
import org.bilberryhead.forwarding.endpoint.Endpoints
import org.bilberryhead.forwarding.quarantine.QuarantineService
import org.bilberryhead.forwarding.stage.StageCoordinatorClient
import kotlin.random.Random

/**
 * Services and state that all requests of the process share. Used only on the event thread.
 *
 * @property stageClient the client of the stage coordinator of a pool; null when the pool runs no stages
 */
internal class ServingContext(
    val thread: EventThread,
    val endpoints: Endpoints,
    val retryBudget: SharedRetryBudget,
    val placement: EnginePlacement,
    val stageClient: (PoolName) -> StageCoordinatorClient?,
    val connectionWaitQueue: ConnectionWaitQueue,
    val quarantine: QuarantineService,
    val decisions: DecisionLog,
    val metrics: ForwardingMetrics,
    val random: Random,
    val memory: MemoryBudget,
) {
    /** Decides on hedges; off until a ratio is set. */
    val hedging = Hedging(ratio = 0.0)

    /** Routes of the current configuration; null until the first configuration is known. */
    var matcher: RouteMatcher? = null

    /** Decides what is still sent while the entry drains; null unless it drains. */
    var drain: DrainAdmission? = null

    /** Returns whether [request], of which the caller has received a part if [hasBegun], may be sent to an endpoint. */
    fun maySend(request: AdmittedRequest, hasBegun: Boolean = false): Boolean =
        drain?.maySend(request.route, request.deadline, hasBegun, thread.now()) ?: true
}
