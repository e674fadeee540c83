package org.bilberryhead.core.pipeline

import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.message.AttemptLocation
import org.bilberryhead.core.routing.EndpointSelector
import org.bilberryhead.core.routing.Selection
import org.bilberryhead.core.routing.SelectionRequest
import kotlin.time.Instant

/**
 * Where the next attempt of a stage runs.
 *
 * @property reason why this location was chosen, for the log
 * @property candidates number of endpoints that were considered
 */
internal data class AttemptTarget(val location: AttemptLocation, val reason: String, val candidates: Int)

/**
 * Chooses an endpoint that meets [criteria]. When every endpoint has been tried, chooses again among [neverReached]:
 * the attempts sent to these endpoints never arrived, so the endpoints did not fail.
 */
internal fun EndpointSelector.chooseWithFallback(
    criteria: SelectionRequest,
    neverReached: Set<EndpointId>,
    now: Instant,
): Selection {
    val first = choose(criteria, now)
    if (first is Selection.Chosen || neverReached.isEmpty()) return first
    return choose(criteria.copy(excludedEndpoints = criteria.excludedEndpoints - neverReached), now)
}
