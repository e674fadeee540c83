package org.bilberryhead.load.policy

import org.bilberryhead.core.admission.AdmissionControl
import org.bilberryhead.core.admission.GateAdmissionPolicy
import org.bilberryhead.core.routing.ChoicePolicy
import org.bilberryhead.core.routing.EndpointSelector
import org.bilberryhead.core.tables.Objective

/**
 * A named set of policies that an experiment compares.
 *
 * @property choice policy that chooses endpoints
 * @property gate admission policy of sidecars
 * @property admission admission policy of entries
 * @property objective objective of the route; null for the objective of the deployment
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
        /** Baseline policies of choice, with a bounded queue at the sidecars. */
        val BASELINES: List<Contender> = listOf(
            baseline("random", ChoicePolicy.Random),
            baseline("round robin", ChoicePolicy.RoundRobin),
            baseline("least in flight", ChoicePolicy.LeastInFlight),
            baseline("two choices", ChoicePolicy.TwoChoices),
        )

        /** Predicted completion with deadline-aware admission, for a route with [objective]. */
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
