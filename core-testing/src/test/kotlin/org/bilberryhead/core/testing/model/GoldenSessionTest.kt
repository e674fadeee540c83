package org.bilberryhead.core.testing.model

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.testing.order.OrderCell
import org.bilberryhead.core.testing.order.OrderFault
import org.bilberryhead.core.testing.order.OrderInjection
import org.bilberryhead.core.testing.order.OrderInvariantChecker
import org.bilberryhead.core.testing.order.OrderPoint
import org.bilberryhead.core.testing.order.OrderSession
import java.io.File

/** Compares complete session logs with golden files; `bin/record-golden` rewrites the files. */
class GoldenSessionTest :
    DescribeSpec({
        describe("a normal session") {
            Scenario.entries.forEach { scenario ->
                it("of $scenario matches its golden file") {
                    compare("normal-$scenario", Cell(scenario, SEED, emptyList()))
                }
            }
        }
        describe("a session with a fault") {
            Fault.entries.forEach { fault ->
                it("$fault matches its golden file") {
                    compare(
                        "fault-$fault",
                        Cell(Scenario.NON_IDEMPOTENT, SEED, listOf(Injection(fault, stepOf(fault), 3))),
                    )
                }
            }
            it("that moves a ticket matches its golden file") {
                val leave = Injection(Fault.LEAVE_SIDECAR, Step.DISPATCH_SENT)
                compare("ticket-moved", Cell(Scenario.TICKETED, SEED, listOf(leave)))
            }
            it("that cancels a queued order matches its golden file") {
                val straggler = Injection(Fault.ENDPOINT_STRAGGLES, Step.RUN_STARTED)
                compare("order-withdrawn", Cell(Scenario.CROWDED, SEED, listOf(straggler)))
            }
        }
        describe("a session of engine orders") {
            val late = OrderInjection(OrderFault.PAUSE_AND_TAKEOVER, OrderPoint.ORDER_CHECKED, occurrence = 2)

            it("without faults matches its golden file") {
                compareOrders("orders-normal", OrderCell(checksFencing = true, SEED, emptyList()))
            }
            it("with a late order to an engine that checks numbers matches its golden file") {
                compareOrders("orders-late-checked", OrderCell(checksFencing = true, SEED, listOf(late)))
            }
            it("with a late order to an engine that ignores numbers matches its golden file") {
                compareOrders("orders-late-ignored", OrderCell(checksFencing = false, SEED, listOf(late)))
            }
        }
    }) {
    private companion object {
        const val SEED = 1
        val DIRECTORY = File("src/test/resources/golden")
        val IS_RECORDING = System.getenv("RECORD_GOLDEN") == "1"

        /** Returns a step in the middle of the non-idempotent stage at which the fault has an effect. */
        fun stepOf(fault: Fault): Step = when (fault) {
            Fault.STALE_CONNECTION, Fault.LEAVE_SIDECAR, Fault.SILENCE_TO_SIDECAR -> Step.DISPATCH_SENT
            Fault.REORDER_MESSAGES, Fault.DUPLICATE_MESSAGES -> Step.DISPATCH_ARRIVED
            Fault.ENDPOINT_STRAGGLES,
            Fault.ENDPOINT_REFUSES,
            Fault.ENDPOINT_FAILS_BEFORE_EFFECT,
            Fault.ENDPOINT_FAILS_AFTER_EFFECT,
            Fault.ENDPOINT_SILENT,
            -> Step.RUN_STARTED
            else -> Step.EFFECT_DONE
        }

        fun compare(name: String, cell: Cell) {
            val session = ModelSession(cell.scenario, cell.seed, cell.injections).run()
            InvariantChecker(session).check().shouldBeEmpty()
            compareLines(name, listOf("# $cell") + session.logLines)
        }

        fun compareOrders(name: String, cell: OrderCell) {
            val session = OrderSession(cell).run()
            OrderInvariantChecker(session, cell).check().shouldBeEmpty()
            compareLines(name, listOf("# $cell") + session.logLines)
        }

        fun compareLines(name: String, lines: List<String>) {
            val text = lines.joinToString("\n", postfix = "\n")
            val file = File(DIRECTORY, "${name.lowercase().replace('_', '-')}.txt")
            if (IS_RECORDING) file.writeText(text)
            file.readText() shouldBe text
        }
    }
}
