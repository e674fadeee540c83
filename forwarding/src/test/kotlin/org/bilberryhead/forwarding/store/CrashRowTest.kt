package org.bilberryhead.forwarding.store

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.quarantine.CrashId
import org.bilberryhead.core.quarantine.CrashReport
import org.bilberryhead.core.serving.PromptPartId

/** What the store takes in one row, in bytes. */
private const val ROW_BYTES = 65_536

private fun report(number: Int, parts: Int) = CrashReport(
    CrashId(EndpointId("endpoint-$number"), startedAt = 1),
    suspects = List(parts) { PromptPartId.of("$number-$it-\u00fc\"") }.toSet(),
    cleared = List(parts) { PromptPartId.of("cleared-$number-$it") }.toSet(),
)

class CrashRowTest :
    DescribeSpec({
        describe("the rows of an entry") {
            it("are one for prompts of ordinary size") {
                CrashRow.encode(List(3) { report(it, parts = 10) }).size shouldBe 1
                CrashRow.encode(emptyList()) shouldBe emptyList()
            }

            it("have all suspects of prompts with thousands of parts, each within the size of a row") {
                // Guards against reports that are left out because others, or they themselves, fill a row.
                val reports = List(3) { report(it, parts = 2_000) }
                val rows = CrashRow.encode(reports)
                rows.size shouldBeGreaterThan 1
                rows.forEach { it.encodeToByteArray().size shouldBeLessThanOrEqual ROW_BYTES }
                val read = rows.flatMap { CrashRow.decode(it)?.reports.orEmpty() }.groupBy { it.crash }
                for (report in reports) {
                    val parts = read.getValue(report.crash)
                    parts.flatMap { it.suspects } shouldContainAll report.suspects
                    parts.flatMap { it.cleared } shouldContainAll report.cleared
                }
            }

            it("have the last reports when there is no room for all") {
                val reports = List(64) { report(it, parts = 1_000) }
                val read = CrashRow.encode(reports).flatMap { CrashRow.decode(it)?.reports.orEmpty() }
                val crashes = read.map { it.crash }
                (reports.last().crash in crashes) shouldBe true
                (reports.first().crash in crashes) shouldBe false
            }

            it("have keys of their own that belong to the entry") {
                val entry = DaemonId("front-1")
                List(2) { CrashRow.keyOf(entry, it) } shouldBe listOf("front-1", "front-1/1")
                CrashRow.isOf(entry, "front-1/1") shouldBe true
                CrashRow.isOf(entry, "front-10") shouldBe false
            }
        }
    })
