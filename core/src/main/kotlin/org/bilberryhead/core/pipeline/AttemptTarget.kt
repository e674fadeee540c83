package org.bilberryhead.core.pipeline

import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.message.AttemptLocation
import org.bilberryhead.core.routing.EndpointSelector
import org.bilberryhead.core.routing.Selection
import org.bilberryhead.core.routing.SelectionRequest
import kotlin.time.Instant

/** Where the next attempt of a stage goes, with what a log line needs to explain it. */
internal data class AttemptTarget(val location: AttemptLocation, val reason: String, val candidates: Int)

/**
 * Chooses an endpoint for [wanted]. When no untried one is left, goes back to one of [unseen], whose sidecars never saw
 * the attempt, which tells nothing against them.
 */
internal fun EndpointSelector.chooseOrGoBack(
    wanted: SelectionRequest,
    unseen: Set<EndpointId>,
    now: Instant,
): Selection {
    val first = choose(wanted, now)
    if (first is Selection.Chosen || unseen.isEmpty()) return first
    return choose(wanted.copy(avoid = wanted.avoid - unseen), now)
}
