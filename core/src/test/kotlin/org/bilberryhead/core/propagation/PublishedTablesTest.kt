package org.bilberryhead.core.propagation

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.tables.Tables
import org.jetbrains.lincheck.datastructures.IntGen
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.Param
import org.jetbrains.lincheck.datastructures.StressOptions

/** The operations that Lincheck runs concurrently. */
@Param(name = "version", gen = IntGen::class, conf = "1:4")
class ConcurrentPublishedTables {
    private val published = PublishedTables()

    @Operation
    fun publish(@Param(name = "version") version: Int) = published.publish(tables(version.toLong()))

    @Operation
    fun version() = published.tables.version.value
}

private fun tables(version: Long) = Tables(version = TableVersion(version))

class PublishedTablesTest :
    DescribeSpec({
        describe("published tables") {
            it("are linearizable when several threads read and publish") {
                StressOptions().iterations(8).invocationsPerIteration(200).check(ConcurrentPublishedTables::class)
            }
            it("are not replaced by an older version") {
                val published = PublishedTables()
                published.publish(tables(version = 2)) shouldBe true

                published.publish(tables(version = 1)) shouldBe false
                published.tables.version shouldBe TableVersion(2)
            }
        }
    })
