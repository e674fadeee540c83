package org.bilberryhead.load.policy

import org.bilberryhead.core.admission.AdmissionControl
import org.bilberryhead.core.admission.GateAdmissionPolicy
import org.bilberryhead.core.routing.ChoicePolicy
import org.bilberryhead.core.routing.EndpointSelector
import org.bilberryhead.core.tables.Objective

/**
 * One set of policies in an experiment.
 *
 * @property choice how endpoints are chosen
 * @property gate how sidecars treat overload
 * @property admission how entries treat overload
 * @property objective of the route; null for that of the deployment
 */
class Contender(
    val name: String,
    val choice: ChoicePolicy,
    val gate: GateAdmissionPolicy,
    val objective: Objective?,
    val isBaseline: Boolean,
    val admission: (EndpointSelector) -> AdmissionControl,
) {
    companion object {
        /** Simple choices behind a bounded queue. */
        val BASELINES: List<Contender> = listOf(
            baseline("random", ChoicePolicy.Random),
            baseline("round robin", ChoicePolicy.RoundRobin),
            baseline("least in flight", ChoicePolicy.LeastInFlight),
            baseline("two choices", ChoicePolicy.TwoChoices),
        )

        /** Predicted completion with admission by deadline, for a route with [objective]. */
        fun predicted(name: String, objective: Objective?): Contender = Contender(
            name,
            ChoicePolicy.PredictedCompletion(),
            GateAdmissionPolicy.DeadlineAware(),
            objective,
            isBaseline = false,
        ) { AdmissionControl.Predictive(it) }

        private fun baseline(name: String, choice: ChoicePolicy) =
            Contender(name, choice, GateAdmissionPolicy.BoundedQueue, null, isBaseline = true) { AdmissionControl.Open }
    }
}
