package org.bilberryhead.core.testing.model

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.testing.order.OrderCell
import org.bilberryhead.core.testing.order.OrderFault
import org.bilberryhead.core.testing.order.OrderInjection
import org.bilberryhead.core.testing.order.OrderJudge
import org.bilberryhead.core.testing.order.OrderPoint
import org.bilberryhead.core.testing.order.OrderSession
import java.io.File

/** Compares whole sessions with files. `bin/record-golden` writes the files anew. */
class GoldenSessionTest :
    DescribeSpec({
        describe("a normal session") {
            Scenario.entries.forEach { scenario ->
                it("of $scenario is as recorded") { compare("normal-$scenario", Cell(scenario, SEED, emptyList())) }
            }
        }
        describe("a session with a fault") {
            Fault.entries.forEach { fault ->
                it("$fault is as recorded") {
                    compare(
                        "fault-$fault",
                        Cell(Scenario.NON_IDEMPOTENT, SEED, listOf(Injection(fault, stepOf(fault), 3))),
                    )
                }
            }
            it("that moves a ticket is as recorded") {
                val leave = Injection(Fault.LEAVE_SIDECAR, Step.DISPATCH_SENT)
                compare("ticket-moved", Cell(Scenario.TICKETED, SEED, listOf(leave)))
            }
            it("that withdraws a waiting order is as recorded") {
                val straggler = Injection(Fault.ENDPOINT_STRAGGLES, Step.RUN_STARTED)
                compare("order-withdrawn", Cell(Scenario.CROWDED, SEED, listOf(straggler)))
            }
        }
        describe("a session of engine orders") {
            val late = OrderInjection(OrderFault.PAUSE_AND_TAKEOVER, OrderPoint.ORDER_CHECKED, occurrence = 2)

            it("is as recorded") { compareOrders("orders-normal", OrderCell(checks = true, SEED, emptyList())) }
            it("with a late order to a checking engine is as recorded") {
                compareOrders("orders-late-checked", OrderCell(checks = true, SEED, listOf(late)))
            }
            it("with a late order to an engine that ignores numbers is as recorded") {
                compareOrders("orders-late-ignored", OrderCell(checks = false, SEED, listOf(late)))
            }
        }
    }) {
    private companion object {
        const val SEED = 1
        val DIRECTORY = File("src/test/resources/golden")
        val IS_RECORDING = System.getenv("RECORD_GOLDEN") == "1"

        /** A step in the middle of the non-idempotent stage at which the fault matters. */
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
            Judge(session).verdict().shouldBeEmpty()
            compareLines(name, listOf("# $cell") + session.lines)
        }

        fun compareOrders(name: String, cell: OrderCell) {
            val session = OrderSession(cell).run()
            OrderJudge(session, cell).verdict().shouldBeEmpty()
            compareLines(name, listOf("# $cell") + session.lines)
        }

        fun compareLines(name: String, lines: List<String>) {
            val text = lines.joinToString("\n", postfix = "\n")
            val file = File(DIRECTORY, "${name.lowercase().replace('_', '-')}.txt")
            if (IS_RECORDING) file.writeText(text)
            file.readText() shouldBe text
        }
    }
}
