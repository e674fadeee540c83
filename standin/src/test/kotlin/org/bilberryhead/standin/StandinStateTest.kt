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
            it("hits as many calls as it was told to") {
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
            it("shows a change once its lag has passed") {
                val time = TestTimeSource()
                val list = LaggingVmList(time)
                val live = listOf(ListedVm("vm-1", VmState.LIVE))
                val leaving = listOf(ListedVm("vm-1", VmState.LEAVING))

                list.shown().shouldBeEmpty()
                list.set(live, Duration.ZERO)
                list.set(leaving, 5.seconds)
                list.shown() shouldBe live

                time += 5.seconds
                list.shown() shouldBe leaving
            }
        }

        describe("an engine that checks fencing numbers") {
            val engines = EngineStandin(listOf(StandinEndpoint("checking", checksFencing = true)))

            it("refuses an order with an old number") {
                engines.record("checking", number = 2, order = "new").accepted shouldBe true
                engines.record("checking", number = 1, order = "old").accepted shouldBe false
            }

            it("loads what an accepted order asks for, and nothing for a refused one") {
                engines.record("checking", number = 2, order = """{"type":"load_model","model":"a"}""")
                engines.record("checking", number = 1, order = """{"type":"load_model","model":"b"}""")

                engines.loaded("checking").models shouldBe setOf(ModelVersion("a"))
            }

            it("differs from one that ignores them") {
                engines.record("ignoring", number = 2, order = "new").accepted shouldBe true
                engines.record("ignoring", number = 1, order = "old").accepted shouldBe true
            }
        }
    })
