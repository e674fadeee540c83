package org.bilberryhead.soak

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import java.nio.file.Path
import kotlin.time.Duration.Companion.seconds

class SoakTest :
    DescribeSpec({
        describe("entries that are killed and paused, with faulty links and a failing store") {
            for (seed in listOf(1, 2)) {
                it("violate no invariant, seed $seed") {
                    val report = SoakRun(seed, entryCount = 3, Path.of("target/soak/seed-$seed")).run(8.seconds)
                    println(report.text())
                    report.violations.shouldBeEmpty()
                }
            }
        }

        describe(
            "entries whose configuration changes and that are stopped one after the other, with silent endpoints",
        ) {
            for (seed in listOf(3, 6)) {
                it("give every whole request a whole response, seed $seed") {
                    val report = PlannedRun(seed, entryCount = 3, Path.of("target/soak/seed-$seed")).run(8.seconds)
                    println(report.text())
                    report.violations.shouldBeEmpty()
                }
            }
        }
    })
