package org.bilberryhead.core.admission

import org.bilberryhead.core.routing.EndpointSelector
import org.bilberryhead.core.tables.Stage
import kotlin.time.Duration

/** Divides the remaining time of a request among the stages that it still has to run. */
object DeadlineSplitter {
    /**
     * Returns how long the first of [stages] may take. For each later stage its mean time is reserved, up to its share
     * of the [remaining] time. Nothing is reserved for a stage whose mean time is not known.
     */
    fun firstStageTimeout(stages: List<Stage>, remaining: Duration, selector: EndpointSelector): Duration {
        val shares = stages.sumOf { it.share }
        if (shares <= 0.0) return remaining
        val later = stages.drop(1).fold(Duration.ZERO) { sum, stage ->
            val mean = selector.stageTimes(stage.pool)?.mean ?: Duration.ZERO
            sum + minOf(mean, remaining * (stage.share / shares))
        }
        return remaining - later
    }
}
