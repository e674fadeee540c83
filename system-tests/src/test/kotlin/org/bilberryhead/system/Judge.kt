package org.bilberryhead.system

import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.string.shouldContain

/** Judges what callers were told by the effects that endpoints recorded. */
internal object Judge {
    /**
     * Checks [answers] to requests whose pipelines have [stages]; stages in [once] are not idempotent. Every caller has
     * an answer of its own, every answer is whole, nothing in [once] has two effects, and no refusal is false.
     */
    fun check(answers: List<CallerAnswer>, effects: List<Effect>, stages: List<String>, once: Set<String>) {
        answers.forEach { answer ->
            withClue("$answer") {
                answer.status shouldNotBe null
                val own = effects.filter { it.request == answer.requestId }
                if (answer.isAnswered) checkAnswered(answer, own, stages)
                if (!answer.isAnswered) answer.outcome shouldNotBe null
                if (answer.outcome == "not_run") own.shouldBeEmpty()
            }
        }
        checkAtMostOnce(effects, once)
    }

    /** Checks that no stage in [once] ran twice for a request. */
    fun checkAtMostOnce(effects: List<Effect>, once: Set<String>) {
        effects.filter { it.stage in once }
            .groupBy { it.request to it.stage }
            .values
            .forEach { it shouldHaveSize 1 }
    }

    private fun checkAnswered(answer: CallerAnswer, own: List<Effect>, stages: List<String>) {
        answer.body shouldContain checkNotNull(answer.requestId)
        stages.forEach { stage ->
            answer.body shouldContain "\"$stage\""
            withClue("effects of $stage") { own.filter { it.stage == stage } shouldNotBe emptyList<Effect>() }
        }
    }
}
