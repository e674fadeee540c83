package org.bilberryhead.sidecar

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.FencingNumber
import org.bilberryhead.core.order.ActionId
import org.bilberryhead.core.order.EngineOrderAction
import org.bilberryhead.core.order.EngineOrderEvent
import org.bilberryhead.core.order.EngineRole
import org.bilberryhead.core.order.EngineState
import org.bilberryhead.core.order.ModelVersion
import org.bilberryhead.core.order.Order
import org.bilberryhead.core.testing.TestClock
import org.bilberryhead.platform.FenceStore
import org.bilberryhead.platform.HttpPlatform
import java.io.OutputStream
import kotlin.time.Duration.Companion.seconds

private val actionId = ActionId(1)
private val usable = TestClock.START + 5.seconds
private val order = EngineOrderAction.SendOrder(actionId, Order.SetRole(EngineRole("decode")), FencingNumber(7), usable)

class EngineOrderExecutorTest :
    DescribeSpec({
        val clock = TestClock()

        /** Performs [action] with an engine and a store that give [answer], and counts the calls they got. */
        suspend fun perform(action: EngineOrderAction, answer: (OutputStream) -> Unit): Pair<EngineOrderEvent?, Int> =
            ScriptedEndpoint(answer).use { other ->
                val fences = FenceStore(HttpPlatform(other.url))
                val calls = EngineOrderExecutor(EndpointId("e"), TEST_RUN, fences, EngineCaller(other.url), clock)
                calls.use { it.perform(action) } to other.calls.get()
            }

        fun answer(status: String, body: String = "", vararg headers: String) =
            ScriptedEndpoint.response(status, body.encodeToByteArray(), *headers)

        describe("an order") {
            it("is done when the engine says so") {
                perform(order, answer("200 OK")).first shouldBe EngineOrderEvent.OrderDone(actionId)
            }
            it("is refused when the engine has seen a newer number") {
                perform(order, answer("409 Conflict")).first.shouldBeInstanceOf<EngineOrderEvent.OrderRefused>()
            }
            it("may have its effect when the engine fails, and goes out once") {
                val (event, calls) = perform(order, answer("503 Busy", "", "Retry-After: 0"))

                event.shouldBeInstanceOf<EngineOrderEvent.OrderFailed>().mayHaveTakenEffect shouldBe true
                calls shouldBe 1
            }
            it("may have its effect when the connection breaks, and goes out once") {
                val (event, calls) = perform(order) { throw java.io.IOException("cut") }

                event.shouldBeInstanceOf<EngineOrderEvent.OrderFailed>().mayHaveTakenEffect shouldBe true
                calls shouldBe 1
            }
            it("is withheld when its time has passed") {
                val late = order.copy(validUntil = clock.now())

                perform(late, answer("200 OK")) shouldBe (EngineOrderEvent.OrderWithheld(actionId) to 0)
            }
        }
        describe("a look at the engine") {
            it("tells what it has loaded") {
                val read = perform(EngineOrderAction.ReadEngine(actionId), answer("200 OK", """{"models":["a"]}"""))

                read.first shouldBe EngineOrderEvent.EngineRead(actionId, EngineState(setOf(ModelVersion("a"))))
            }
            it("that can not be understood tells nothing") {
                perform(EngineOrderAction.ReadEngine(actionId), answer("200 OK", "no JSON"))
                    .first.shouldBeInstanceOf<EngineOrderEvent.EngineReadFailed>()
            }
        }
        describe("a read of the number") {
            it("counts from its begin") {
                val row = """{"key":"fences/e","value":"7 run","version":1}"""

                perform(EngineOrderAction.ReadNumber(actionId), answer("200 OK", row)).first shouldBe
                    EngineOrderEvent.NumberRead(actionId, FencingNumber(7), TestClock.START)
            }
            it("that can not be understood tells nothing") {
                perform(EngineOrderAction.ReadNumber(actionId), answer("200 OK", "no JSON"))
                    .first.shouldBeInstanceOf<EngineOrderEvent.StoreFailed>()
            }
        }
    })
