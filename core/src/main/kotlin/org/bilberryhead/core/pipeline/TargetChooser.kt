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

/** Result of choosing an endpoint for the next attempt of a stage. */
internal sealed interface TargetChoice {
    /** The attempt is sent to [target]. */
    data class Found(val target: AttemptTarget) : TargetChoice

    /** The tables contain no pool with the name that the stage refers to. */
    data object PoolMissing : TargetChoice

    /**
     * No endpoint can take the attempt now.
     *
     * @property retryAfter time after which a retry may succeed; null when it is not known
     */
    data class NoEndpoint(val decision: RoutingDecision, val retryAfter: Duration?) : TargetChoice
}

/** Chooses endpoints for the attempts of one request and assigns the attempt ids. Not thread-safe. */
internal class TargetChooser(
    private val request: AdmittedRequest,
    private val route: Route,
    private val tables: Tables,
    private val selector: EndpointSelector,
    private val attempts: RequestAttempts,
) {
    private var attemptCount = 0

    /** Chooses an endpoint for the next attempt of the stage at [stageIndex]. */
    fun choose(stageIndex: Int, now: Instant): TargetChoice {
        val stage = route.stages[stageIndex]
        val pool = tables.poolOf(stage) ?: return TargetChoice.PoolMissing
        val attempt = AttemptId("${request.id.value}$ATTEMPT_SEPARATOR$stageIndex$ATTEMPT_SEPARATOR${attemptCount++}")
        val criteria = selectionRequest(stageIndex, pool, now)
        return when (val selection = selector.chooseWithFallback(criteria, attempts.endpointsNeverReached(), now)) {
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

    /** Returns the time that the stage at [stageIndex] may take, so that the later stages can meet the deadline. */
    fun stageTimeout(stageIndex: Int, now: Instant): Duration =
        DeadlineSplitter.firstStageTimeout(route.stages.drop(stageIndex), request.deadline - now, selector)

    private fun selectionRequest(stageIndex: Int, pool: Pool, now: Instant) = SelectionRequest(
        request = request.id,
        pool = pool,
        remaining = stageTimeout(stageIndex, now),
        objective = route.objective,
        excludedEndpoints = attempts.endpointsTried(stageIndex),
        mayRepeat = route.stages[stageIndex].idempotent,
        mayRefuse = stageIndex == 0,
    )
}
