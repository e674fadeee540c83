package org.bilberryhead.core.pipeline

import org.bilberryhead.core.admission.DeadlineSplitter
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.execution.ATTEMPT_SEPARATOR
import org.bilberryhead.core.message.AttemptLocation
import org.bilberryhead.core.routing.EndpointSelector
import org.bilberryhead.core.routing.Selection
import org.bilberryhead.core.routing.SelectionRequest
import org.bilberryhead.core.tables.Pool
import org.bilberryhead.core.tables.Route
import org.bilberryhead.core.tables.Tables
import kotlin.time.Duration
import kotlin.time.Instant

/** What came of the search for an endpoint that runs the next attempt of a stage. */
internal sealed interface TargetChoice {
    /** The attempt goes to [target]. */
    data class Found(val target: AttemptTarget) : TargetChoice

    /** The tables do not name the pool of the stage. */
    data object PoolMissing : TargetChoice

    /**
     * No endpoint takes the attempt now.
     *
     * @property retryAfter when coming back can help; null when that is not known
     */
    data class NoEndpoint(val decision: RoutingDecision, val retryAfter: Duration?) : TargetChoice
}

/** Chooses where the attempts of one request go, and names them. Not safe for use by several threads. */
internal class TargetChooser(
    private val request: AdmittedRequest,
    private val route: Route,
    private val tables: Tables,
    private val selector: EndpointSelector,
    private val attempts: RequestAttempts,
) {
    private var attemptCount = 0

    /** Returns where the next attempt of the stage at [stageIndex] goes. */
    fun choose(stageIndex: Int, now: Instant): TargetChoice {
        val stage = route.stages[stageIndex]
        val pool = tables.poolOf(stage) ?: return TargetChoice.PoolMissing
        val attempt = AttemptId("${request.id.value}$ATTEMPT_SEPARATOR$stageIndex$ATTEMPT_SEPARATOR${attemptCount++}")
        val wanted = selectionRequest(stageIndex, pool, now)
        return when (val selection = selector.chooseOrGoBack(wanted, attempts.endpointsNeverReached(), now)) {
            is Selection.Chosen -> {
                val candidate = selection.candidate
                val location = AttemptLocation(candidate.endpoint, candidate.incarnation, attempt)
                TargetChoice.Found(AttemptTarget(location, selection.reason, selection.candidates))
            }
            is Selection.NoneAvailable -> {
                val decision =
                    RoutingDecision(attempt, stage.name.value, selection.candidates, chosen = null, selection.reason)
                TargetChoice.NoEndpoint(decision, selection.retryAfter)
            }
        }
    }

    /** Returns the time that the stage at [stageIndex] may take, so that the later ones can meet the deadline. */
    fun stageLimit(stageIndex: Int, now: Instant): Duration =
        DeadlineSplitter.limit(route.stages.drop(stageIndex), request.deadline - now, selector)

    private fun selectionRequest(stageIndex: Int, pool: Pool, now: Instant) = SelectionRequest(
        request = request.id,
        pool = pool,
        remaining = stageLimit(stageIndex, now),
        objective = route.objective,
        avoid = attempts.endpointsTried(stageIndex),
        mayProbe = route.stages[stageIndex].idempotent,
        mayRefuse = stageIndex == 0,
    )
}
