package org.bilberryhead.cli

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldNotContain
import org.bilberryhead.cli.file.TablesFile
import org.bilberryhead.core.testing.testPool
import org.bilberryhead.core.testing.testRoute
import org.bilberryhead.core.testing.testTables

class TableDiffTest :
    DescribeSpec({
        describe("the difference between tables") {
            val from = TablesFile.of(testTables())

            it("is empty between equal tables") {
                TableDiff.lines(from, from).shouldBeEmpty()
            }

            it("lists added, removed and changed rows") {
                val to = TablesFile.of(
                    testTables(routes = listOf(testRoute("draft")), pools = listOf(testPool(concurrency = 9))),
                )

                val lines = TableDiff.lines(from, to)

                lines shouldContain "+ route draft"
                lines shouldContain "- route plan"
                lines shouldContain "~ pool generate"
                lines shouldContain "    + concurrency: 9"
                lines shouldNotContain "    - endpoints:"
            }
        }
    })
