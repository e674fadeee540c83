package org.bilberryhead.forwarding

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.bilberryhead.platform.testing.RowStoreServer
import org.bilberryhead.platform.wire.RowKey
import org.bilberryhead.platform.wire.WireTables
import kotlin.time.Duration.Companion.seconds

private val LEAVING_ROW = RowKey(WireTables.ENDPOINTS, "p-0")

/** An entry with two endpoints that respond with their names, `p-0` and `p-1`. */
private class EntryWithTwoEndpoints : AutoCloseable {
    private val endpoints = listOf("p-0", "p-1").map { name -> ScriptedEndpoint { respond(body = name) } }
    val store = RowStoreServer()
    private val pools = mapOf("p" to endpoints)
    private val entry = LoopbackDeployment(LoopbackDeployment.CONFIGURATION, pools, sharedStore = store)

    fun report(sequence: Long, state: String) = store.rows.put(
        LEAVING_ROW,
        """{"service":"p","address":"${endpoints[0].address}","zone":"x","slots":4,"state":"$state","born":1,""" +
            """"sequence":$sequence}""",
    )

    fun requestsServedByFirst(): List<Int> =
        (0 until 20).filter { entry.get("/lookup/a", "r$it").shouldNotBeNull().body == "p-0" }

    suspend fun awaitDrained() = eventually(5.seconds) { requestsServedByFirst().shouldBeEmpty() }

    /** Waits until the entry has read a row that was written after all others. */
    suspend fun awaitRowsRead(recorded: RecordedDecisions) {
        store.rows.put(RowKey(WireTables.ENDPOINTS, "marker"), "no entry")
        eventually(10.seconds) {
            recorded.of("endpoint entry unreadable").any { it["endpoint"] == "marker" } shouldBe true
        }
    }

    override fun close() {
        entry.close()
        store.close()
        endpoints.forEach { it.close() }
    }
}

class LateEndpointRowTest :
    DescribeSpec({
        describe("an endpoint that has reported that it is draining") {
            it("gets no request after a heartbeat of before that reaches the store late") {
                // Guards against a row that is taken for news because it was written last.
                RecordedDecisions().use { recorded ->
                    EntryWithTwoEndpoints().use {
                        it.report(sequence = 7, state = "ready")
                        it.report(sequence = 9, state = "draining")
                        it.awaitDrained()
                        it.report(sequence = 8, state = "ready")
                        it.awaitRowsRead(recorded)
                        it.requestsServedByFirst().shouldBeEmpty()
                    }
                }
            }

            it("gets no request after the store has come back from a copy of before the report") {
                RecordedDecisions().use { recorded ->
                    EntryWithTwoEndpoints().use {
                        it.report(sequence = 7, state = "ready")
                        val copy = it.store.rows.copy()
                        it.report(sequence = 9, state = "draining")
                        it.awaitDrained()
                        it.store.rows.restore(copy)
                        it.awaitRowsRead(recorded)
                        it.requestsServedByFirst().shouldBeEmpty()
                    }
                }
            }
        }
    })
