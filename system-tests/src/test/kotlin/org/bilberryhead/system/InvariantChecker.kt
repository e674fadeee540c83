package org.bilberryhead.system

import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.string.shouldContain

/** Checks the responses to callers against the effects that the endpoints recorded. */
internal object InvariantChecker {
    /**
     * Checks [responses] to requests whose pipelines have [stages]. Every caller got a response; every answer belongs
     * to its request, is complete and has its effects; every refusal states an outcome, and `not_run` means no effect;
     * and no stage in [nonIdempotent] took effect twice for a request.
     */
    fun check(
        responses: List<CallerResponse>,
        effects: List<Effect>,
        stages: List<String>,
        nonIdempotent: Set<String>,
    ) {
        responses.forEach { response ->
            withClue("$response") {
                response.status shouldNotBe null
                val own = effects.filter { it.request == response.requestId }
                if (response.isAnswered) checkAnswered(response, own, stages)
                if (!response.isAnswered) response.outcome shouldNotBe null
                if (response.outcome == "not_run") own.shouldBeEmpty()
            }
        }
        checkAtMostOnce(effects, nonIdempotent)
    }

    /** Checks that no stage in [nonIdempotent] took effect twice for a request. */
    fun checkAtMostOnce(effects: List<Effect>, nonIdempotent: Set<String>) {
        effects.filter { it.stage in nonIdempotent }
            .groupBy { it.request to it.stage }
            .values
            .forEach { it shouldHaveSize 1 }
    }

    private fun checkAnswered(response: CallerResponse, own: List<Effect>, stages: List<String>) {
        response.body shouldContain checkNotNull(response.requestId)
        stages.forEach { stage ->
            response.body shouldContain "\"$stage\""
            withClue("effects of $stage") { own.filter { it.stage == stage } shouldNotBe emptyList<Effect>() }
        }
    }
}
