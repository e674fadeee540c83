package org.bilberryhead.entry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.pipeline.FailureReason
import org.bilberryhead.core.pipeline.RequestOutcome
import kotlin.io.path.Path
import kotlin.io.path.readText

class ProblemTypesTest :
    DescribeSpec({
        val id = RequestId("entry.1")
        val rejections = RejectionReason.entries.map { refusalOf(id, Rejection(it, "detail"), hasKey = false) }
        val failures = FailureReason.entries.mapNotNull { refusalOf(id, RequestOutcome.NotRun(it, null), false) }
        val types = (rejections + failures + internalError(id)).map { it.problem.type }.distinct()

        describe("the types of problems") {
            it("are all listed in the callers' interface, and no others") {
                val listed = Regex("urn:bilberryhead:problem:[a-z-]+").findAll(Path("../docs/openapi.yaml").readText())

                listed.map { it.value }.toList() shouldContainExactlyInAnyOrder types
            }
            it("are all explained on the operators' page, and no others") {
                val section = Path("../docs/OPERATIONS.md").readText()
                    .substringAfter("## What a refusal means").substringBefore("\n## ")
                val rows = section.lines().filter { it.startsWith("| `") }

                rows.map {
                    "urn:bilberryhead:problem:" + it.substringAfter('`').substringBefore('`')
                } shouldContainExactlyInAnyOrder
                    types
                rows.filter { row -> row.split('|').drop(1).dropLast(1).any { it.isBlank() } } shouldBe emptyList()
            }
        }
    })
