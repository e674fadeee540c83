package org.bilberryhead.core.admission

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.routing.EndpointSelector
import org.bilberryhead.core.routing.PolicySelector
import org.bilberryhead.core.tables.Pool
import org.bilberryhead.core.testing.TestClock
import org.bilberryhead.core.testing.testRoute
import org.bilberryhead.core.testing.testTables
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Simulates a pool that serves [perSecond] requests a second in order, each for at least [serviceTime]. */
private class SimulatedPool(private val perSecond: Int, private val serviceTime: Duration) :
    EndpointSelector by PolicySelector({ emptyList() }, DataCentre("nashua"), Random(1)) {
    private var freeAt = Instant.DISTANT_PAST
    private val endsAt = ArrayDeque<Instant>()

    fun admit(now: Instant) {
        freeAt = maxOf(freeAt, now) + 1.seconds / perSecond
        endsAt += freeAt + serviceTime
    }

    /** Returns how many requests were answered since the last call. */
    fun answered(now: Instant): Int {
        val sizeBefore = endsAt.size
        while (endsAt.isNotEmpty() && endsAt.first() <= now) endsAt.removeFirst()
        return sizeBefore - endsAt.size
    }

    override fun predict(pool: Pool, now: Instant): Duration = maxOf(freeAt - now, Duration.ZERO) + serviceTime
}

class AdmissionControlTest :
    DescribeSpec({
        val large = ClientAccount("large")
        val small = ClientAccount("small")
        val route = testRoute()
        val tables = testTables(routes = listOf(route))

        /** Sends 100 requests a second, three in four from the large account; returns the refused accounts. */
        fun refusedBy(pool: SimulatedPool): List<ClientAccount> {
            val clock = TestClock()
            val admission = AdmissionControl.Predictive(pool)
            return (0 until 800).mapNotNull { step ->
                clock.advance(10.milliseconds)
                repeat(pool.answered(clock.now())) { admission.recordServed(route, clock.now()) }
                val account = if (step % 4 == 0) small else large
                val admitted = admission.check(account, route, tables, 4.seconds, clock.now())
                when (admitted) {
                    is Admission.Admitted -> pool.admit(clock.now())
                    is Admission.Refused -> admission.recordUnserved(route, clock.now())
                }
                account.takeIf { admitted is Admission.Refused }
            }
        }

        describe("admission by prediction") {
            it("refuses no account while the first requests are still in progress") {
                refusedBy(SimulatedPool(perSecond = 200, serviceTime = 900.milliseconds)).shouldBeEmpty()
            }

            it("refuses almost only the account that exceeds its share while the pool is overloaded") {
                val refused = refusedBy(SimulatedPool(perSecond = 60, serviceTime = 300.milliseconds))
                refused.count { it == small } shouldBeLessThan refused.count { it == large } / 50
                refused.size shouldBeGreaterThan 200
            }
        }
    })
