package org.bilberryhead.forwarding.store

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.quarantine.CrashId
import org.bilberryhead.core.quarantine.CrashReport
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.forwarding.freeAddress
import org.bilberryhead.forwarding.http.Connector
import org.bilberryhead.forwarding.http.SingleExchange
import org.bilberryhead.forwarding.newEventThread
import org.bilberryhead.forwarding.quarantine.CrashTableListener
import org.bilberryhead.platform.wire.RowKey
import org.bilberryhead.platform.wire.RowTransaction
import org.bilberryhead.platform.wire.StoreEra
import org.bilberryhead.platform.wire.StoreRow
import org.bilberryhead.platform.wire.StoreVersion

private fun version(era: Long, number: Long) = StoreVersion(StoreEra(era), number)

private fun crashRow(writer: String, endpoint: String, version: StoreVersion): StoreRow {
    val report = CrashReport(CrashId(EndpointId(endpoint), startedAt = 1))
    return StoreRow(writer, CrashRow.encode(listOf(report)).single(), version)
}

/** Reads the rows of crash reports as the entry `own`. */
private class CrashReader {
    private val thread = newEventThread()
    val endpointsRead = mutableListOf<String>()
    val ownRowsLeft = mutableListOf<Pair<List<String>, Int>>()
    val listener = CrashTableListener(
        DaemonId("own"),
        thread,
        DecisionLog(linesPerSecond = 10, thread::now),
        ownRowsRead = { _, _ -> },
        storeRestored = { keys, reports -> ownRowsLeft += keys to reports.size },
        reportsRead = { reports -> endpointsRead += reports.map { it.crash.endpoint.value } },
    )
}

class StoreErasTest :
    DescribeSpec({
        describe("a transaction that expects a version of an earlier era") {
            it("is a conflict and is not sent, since the number may be that of a later row") {
                val thread = newEventThread()
                val eras = StoreEras().apply { record(StoreEra(2)) }
                // Nothing listens there, so that a call would have no status.
                val writer = StoreWriter(freeAddress(), SingleExchange(thread, Connector(thread, "X-Request-Id")), eras)
                val statuses = mutableListOf<Int?>()
                val transaction = RowTransaction(expected = mapOf(RowKey("t", "k") to version(era = 1, number = 7)))
                writer.write(transaction) { status, _ -> statuses += status }
                statuses shouldContainExactly listOf(StoreWriter.CONFLICT)
            }
        }

        describe("a response of an earlier era") {
            it("is known as such, and begins no new era") {
                val begun = mutableListOf<Long>()
                val eras = StoreEras().apply { onNewEra { begun += it.number } }
                listOf(3L, 4L, 3L, 4L).map { eras.record(StoreEra(it)) } shouldBe listOf(true, true, false, true)
                begun shouldBe listOf(4L)
            }
        }

        describe("a row of crash reports") {
            it("is read when another era gives it the version that it had before") {
                val reader = CrashReader()
                val before = crashRow("other", "x", version(era = 1, number = 5))
                val after = crashRow("other", "y", version(era = 2, number = 5))
                reader.listener.onTableRead(listOf(before), TableReading())
                reader.listener.onTableRead(listOf(after), TableReading(afterRestore = true))
                reader.endpointsRead shouldBe listOf("x", "y")
            }

            it("is checked when it is this entry's own and the store has come back from a copy") {
                val reader = CrashReader()
                reader.listener.onTableRead(emptyList(), TableReading())
                reader.listener.onTableRead(emptyList(), TableReading(afterOutage = true))
                val left = crashRow("own", "x", version(era = 2, number = 5))
                reader.listener.onTableRead(listOf(left), TableReading(afterRestore = true))
                reader.ownRowsLeft shouldBe listOf(listOf("own") to 1)
            }
        }
    })
