package org.bilberryhead.cli

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.unwrap
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.bilberryhead.cli.file.FileProblem
import org.bilberryhead.cli.file.TablesFile
import org.bilberryhead.cli.file.TablesFileFormat
import org.bilberryhead.core.testing.testPool
import org.bilberryhead.core.testing.testRoute
import org.bilberryhead.core.testing.testTables
import java.nio.file.Path
import kotlin.io.path.readText

private fun problems(text: String): List<FileProblem> = TablesFileFormat.read(text.trimIndent()).getError().orEmpty()

class TablesFileFormatTest :
    DescribeSpec({
        describe("a tables file") {
            it("decodes to the tables that were encoded") {
                val tables = testTables(routes = listOf(testRoute(streamed = true)), pools = listOf(testPool(size = 3)))
                val file = TablesFile.of(tables)

                val read = TablesFileFormat.read(TablesFileFormat.write(file)).unwrap()

                read.toRoutes() shouldBe tables.routes
                read.toPools() shouldBe tables.pools
            }

            it("with schema errors and semantic errors gets all of them reported together, each with its line") {
                val errors = problems(
                    """
                    routes:
                      plan:
                        defaultDeadline: soon
                        stages:
                          - {name: generate, pool: advisor, idempotent: perhaps}
                        colour: red
                      order:
                        stages:
                          - name: record
                            pool: nowhere
                            idempotent: false
                            hedged: true
                    pools:
                      advisor:
                        concurrency: few
                        endpoints: []
                      orders:
                        endpoints: []
                    """,
                )

                errors shouldContainExactly listOf(
                    FileProblem(3, "routes.plan.defaultDeadline", "'soon' is not a duration such as 250ms or 4s"),
                    FileProblem(5, "routes.plan.stages.0.idempotent", "'perhaps' is neither true nor false"),
                    FileProblem(
                        6,
                        "routes.plan.colour",
                        "unknown key; known are stages, defaultDeadline, maximumDeadline, objective, streamed",
                    ),
                    FileProblem(10, "routes.order.stages.0.pool", "no pool is named 'nowhere'"),
                    FileProblem(12, "routes.order.stages.0.hedged", "a stage that is not idempotent can not be hedged"),
                    FileProblem(15, "pools.advisor.concurrency", "'few' is not a whole number"),
                    FileProblem(18, "pools.orders.endpoints", "the pool has no endpoint"),
                )
            }

            it("with missing keys and wrong structures gets an error for each") {
                val errors = problems(
                    """
                    routes:
                      plan: {stages: many}
                    pools:
                      advisor: {}
                    """,
                )

                errors.map { it.path to it.problem } shouldContainExactly listOf(
                    "routes.plan.stages" to "must be a list",
                    "pools.advisor.endpoints" to "is missing",
                )
            }

            it("with malformed YAML gets an error with the line") {
                problems("routes: {").map { it.line } shouldContainExactly listOf(1)
            }
        }

        describe("the example tables") {
            listOf("granite-hollow", "vijverkruid").forEach { name ->
                it("have no error for $name") {
                    problems(Path.of("../dist/src/main/files/examples/$name/tables.yaml").readText()).shouldBeEmpty()
                }
            }
        }
    })
