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
private val validUntil = TestClock.START + 5.seconds
private val order = EngineOrderAction.SendOrder(
    actionId,
    Order.SetRole(EngineRole("decode")),
    FencingNumber(7),
    validUntil,
)

class EngineOrderExecutorTest :
    DescribeSpec({
        val clock = TestClock()

        /** Performs [action] with a server as engine and store that sends [response]; returns event and call count. */
        suspend fun perform(action: EngineOrderAction, response: (OutputStream) -> Unit): Pair<EngineOrderEvent?, Int> =
            ScriptedEndpoint(response).use { server ->
                val fences = FenceStore(HttpPlatform(server.url))
                val executor =
                    EngineOrderExecutor(EndpointId("e"), TEST_INCARNATION, fences, EngineCaller(server.url), clock)
                executor.use { it.perform(action) } to server.calls.get()
            }

        fun response(status: String, body: String = "", vararg headers: String) =
            ScriptedEndpoint.response(status, body.encodeToByteArray(), *headers)

        describe("an order") {
            it("is done when the engine reports success") {
                perform(order, response("200 OK")).first shouldBe EngineOrderEvent.OrderDone(actionId)
            }
            it("is refused when the engine has received a newer fencing number") {
                perform(order, response("409 Conflict")).first.shouldBeInstanceOf<EngineOrderEvent.OrderRefused>()
            }
            it("may have taken effect when the engine fails, and is sent once") {
                val (event, calls) = perform(order, response("503 Busy", "", "Retry-After: 0"))

                event.shouldBeInstanceOf<EngineOrderEvent.OrderFailed>().mayHaveTakenEffect shouldBe true
                calls shouldBe 1
            }
            it("may have taken effect when the connection is lost, and is sent once") {
                val (event, calls) = perform(order) { throw java.io.IOException("expected test failure") }

                event.shouldBeInstanceOf<EngineOrderEvent.OrderFailed>().mayHaveTakenEffect shouldBe true
                calls shouldBe 1
            }
            it("is withheld when it is no longer valid") {
                val expired = order.copy(validUntil = clock.now())

                perform(expired, response("200 OK")) shouldBe (EngineOrderEvent.OrderWithheld(actionId) to 0)
            }
        }
        describe("a read of the engine") {
            it("returns what the engine has loaded") {
                val read = perform(EngineOrderAction.ReadEngine(actionId), response("200 OK", """{"models":["a"]}"""))

                read.first shouldBe EngineOrderEvent.EngineRead(actionId, EngineState(setOf(ModelVersion("a"))))
            }
            it("fails when the response cannot be decoded") {
                perform(EngineOrderAction.ReadEngine(actionId), response("200 OK", "no JSON"))
                    .first.shouldBeInstanceOf<EngineOrderEvent.EngineReadFailed>()
            }
        }
        describe("a read of the fencing number") {
            it("reports the time at which it started") {
                val row = """{"key":"fences/e","value":"7 run","version":1}"""

                perform(EngineOrderAction.ReadNumber(actionId), response("200 OK", row)).first shouldBe
                    EngineOrderEvent.NumberRead(actionId, FencingNumber(7), TestClock.START)
            }
            it("fails when the response cannot be decoded") {
                perform(EngineOrderAction.ReadNumber(actionId), response("200 OK", "no JSON"))
                    .first.shouldBeInstanceOf<EngineOrderEvent.StoreFailed>()
            }
        }
    })
