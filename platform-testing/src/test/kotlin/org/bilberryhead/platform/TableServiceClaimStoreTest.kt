package org.bilberryhead.platform

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.IdempotencyKey
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.message.AttemptLocation
import org.bilberryhead.core.testing.TestClock
import org.bilberryhead.platform.testing.FakeTableService
import org.bilberryhead.platform.testing.StoreCall
import org.bilberryhead.platform.testing.StoreFault
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun key(name: String) = ClaimKey(ClientAccount("town"), IdempotencyKey(name))

private fun proposal(name: String) =
    Claim(AttemptLocation(EndpointId("orders-0"), Incarnation("run"), AttemptId(name)), "fingerprint")

private fun TestScope.clock() = object : Clock {
    override fun now() = TestClock.START + testScheduler.currentTime.milliseconds
}

private fun TestScope.claimStore(store: TableService) = TableServiceClaimStore(store, clock(), backgroundScope)

class TableServiceClaimStoreTest :
    DescribeSpec({
        describe("many claims at once") {
            it("are grouped into few transactions") {
                runTest {
                    val store = FakeTableService()
                    store.beforeCall = { delay(5.milliseconds) }
                    val claims = claimStore(store)

                    val results = (1..300).map { async { claims.claim(key("$it"), proposal("$it")) } }.awaitAll()

                    results.map { it.get()?.location?.attempt?.value } shouldBe (1..300).map { "$it" }
                    store.committed.size shouldBeLessThan 7
                }
            }
            it("are recorded for the other keys when one key is already claimed") {
                runTest {
                    val store = FakeTableService()
                    claimStore(store).claim(key("taken"), proposal("first"))
                    val claims = claimStore(store)

                    val names = listOf("taken", "free")
                    val results = names.map { async { claims.claim(key(it), proposal("second")) } }.awaitAll()

                    results.map { it.get() } shouldBe listOf(proposal("first"), proposal("second"))
                }
            }
            it("return the same claim to all submissions of one key") {
                runTest {
                    val claims = claimStore(FakeTableService())

                    val results = (1..5).map { async { claims.claim(key("same"), proposal("$it")) } }.awaitAll()

                    results.map { it.get() }.toSet() shouldBe setOf(proposal("1"))
                }
            }
        }
        describe("a store that does not answer") {
            it("leaves the outcome unknown after a bounded time") {
                runTest {
                    val store = FakeTableService()
                    store.beforeCall = { delay(60.seconds) }

                    val result = claimStore(store).claim(key("a"), proposal("a"))

                    result.fold({ null }, { it }).shouldBeInstanceOf<StoreError.OutcomeUnknown>()
                    testScheduler.currentTime shouldBe 3_000
                }
            }
        }
        describe("the outcome of a claimed request") {
            it("is recorded once") {
                runTest {
                    val store = FakeTableService()
                    val claims = claimStore(store)
                    claims.claim(key("a"), proposal("a"))
                    store.planFaults(StoreCall.COMMIT, StoreFault.LOST_ANSWER)

                    claims.recordOutcome(key("a"), ClaimOutcome.ANSWERED)
                    claims.recordOutcome(key("a"), ClaimOutcome.UNKNOWN)

                    claims.find(key("a")).get()?.outcome shouldBe ClaimOutcome.ANSWERED
                }
            }
        }
        describe("two entries that claim one key under every pair of faults") {
            for (commitFault in StoreFault.entries) {
                for (readFault in StoreFault.entries) {
                    for (nextCommitFault in StoreFault.entries) {
                        it("agree on it: commit $commitFault, read $readFault, next commit $nextCommitFault") {
                            runTest { raceForKey(listOf(commitFault, nextCommitFault), readFault) }
                        }
                    }
                }
            }
        }
    })

private suspend fun TestScope.raceForKey(commitFaults: List<StoreFault>, readFault: StoreFault) {
    val store = FakeTableService()
    store.beforeCall = { delay(2.milliseconds) }
    store.planFaults(StoreCall.COMMIT, *commitFaults.toTypedArray())
    store.planFaults(StoreCall.READ, readFault)
    val entries = listOf(claimStore(store), claimStore(store))

    val results = entries.mapIndexed { index, entry -> async { entry.claim(key("order"), proposal("entry-$index")) } }
        .awaitAll()

    store.clearFaults()
    val recorded = claimStore(store).find(key("order")).get()
    results.forEachIndexed { index, result ->
        result.fold(
            success = { it shouldBe recorded.shouldNotBeNull() },
            failure = { error ->
                val isNotWritten = error is StoreError.Refused
                withClue("$error") { if (isNotWritten) recorded shouldNotBe proposal("entry-$index") }
            },
        )
    }
}
