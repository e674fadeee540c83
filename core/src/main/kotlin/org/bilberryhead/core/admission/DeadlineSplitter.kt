package org.bilberryhead.core.admission

import org.bilberryhead.core.routing.EndpointSelector
import org.bilberryhead.core.tables.Stage
import kotlin.time.Duration

/** Splits the time that a request has left over the stages that it still has to run. */
object DeadlineSplitter {
    /**
     * Returns how long the first of [stages] may take. Each later stage keeps the time that it is known to take, and
     * at most its share of the [remaining] time; a stage of which nothing is known keeps nothing.
     */
    fun limit(stages: List<Stage>, remaining: Duration, selector: EndpointSelector): Duration {
        val shares = stages.sumOf { it.share }
        if (shares <= 0.0) return remaining
        val later = stages.drop(1).fold(Duration.ZERO) { sum, stage ->
            val learnt = selector.stageTimes(stage.pool)?.typical ?: Duration.ZERO
            sum + minOf(learnt, remaining * (stage.share / shares))
        }
        return remaining - later
    }
}
