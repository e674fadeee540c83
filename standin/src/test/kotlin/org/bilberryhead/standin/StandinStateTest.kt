package org.bilberryhead.standin

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.order.ModelVersion
import org.bilberryhead.platform.ListedVm
import org.bilberryhead.platform.VmState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class StandinStateTest :
    DescribeSpec({
        describe("a fault switch") {
            it("applies to as many calls as it was set for") {
                val switch = FaultSwitch(EndpointFault(EndpointFaultKind.NONE))
                switch.set(EndpointFault(EndpointFaultKind.REFUSE), calls = 2)

                List(3) { switch.next().fault.kind } shouldContainExactly
                    listOf(EndpointFaultKind.REFUSE, EndpointFaultKind.REFUSE, EndpointFaultKind.NONE)
            }

            it("does not count calls that it does not apply to") {
                val switch = FaultSwitch(PlatformFault(PlatformService.TABLES, PlatformFaultKind.NONE))
                switch.set(PlatformFault(PlatformService.TABLES, PlatformFaultKind.DOWN, writesOnly = true), calls = 1)

                switch.next { !it.writesOnly }.fault.kind shouldBe PlatformFaultKind.NONE
                switch.next().fault.kind shouldBe PlatformFaultKind.DOWN
            }
        }

        describe("a lagging VM list") {
            it("makes a change visible once its lag has passed") {
                val time = TestTimeSource()
                val list = LaggingVmList(time)
                val live = listOf(ListedVm("vm-1", VmState.LIVE))
                val leaving = listOf(ListedVm("vm-1", VmState.LEAVING))

                list.visibleVms().shouldBeEmpty()
                list.set(live, Duration.ZERO)
                list.set(leaving, 5.seconds)
                list.visibleVms() shouldBe live

                time += 5.seconds
                list.visibleVms() shouldBe leaving
            }
        }

        describe("an engine that checks fencing numbers") {
            val engines = EngineStandin(listOf(StandinEndpoint("checking", checksFencing = true)))

            it("rejects an order with an old number") {
                engines.processOrder("checking", number = 2, order = "new").accepted shouldBe true
                engines.processOrder("checking", number = 1, order = "old").accepted shouldBe false
            }

            it("applies an accepted order and does not apply a rejected one") {
                engines.processOrder("checking", number = 2, order = """{"type":"load_model","model":"a"}""")
                engines.processOrder("checking", number = 1, order = """{"type":"load_model","model":"b"}""")

                engines.stateOf("checking").models shouldBe setOf(ModelVersion("a"))
            }

            it("differs from an engine that accepts old numbers") {
                engines.processOrder("ignoring", number = 2, order = "new").accepted shouldBe true
                engines.processOrder("ignoring", number = 1, order = "old").accepted shouldBe true
            }
        }
    })
