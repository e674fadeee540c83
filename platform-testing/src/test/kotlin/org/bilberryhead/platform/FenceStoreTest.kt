package org.bilberryhead.platform

import com.github.michaelbull.result.get
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.FencingNumber
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.platform.testing.FakeTableService
import org.bilberryhead.platform.testing.StoreCall
import org.bilberryhead.platform.testing.StoreFault

private val endpoint = EndpointId("generate-0")

class FenceStoreTest :
    DescribeSpec({
        describe("a fencing number") {
            it("grows with each holder") {
                val fences = FenceStore(FakeTableService())

                fences.acquire(endpoint, Incarnation("first")).get() shouldBe FencingNumber(1)
                fences.acquire(endpoint, Incarnation("second")).get() shouldBe FencingNumber(2)
                fences.current(endpoint).get() shouldBe FencingNumber(2)
            }
            it("is acquired once when the response of the write is lost") {
                val store = FakeTableService()
                store.planFaults(StoreCall.COMMIT, StoreFault.LOST_ANSWER)

                FenceStore(store).acquire(endpoint, Incarnation("first")).get() shouldBe FencingNumber(1)
            }
            it("differs between two holders that acquire it concurrently") {
                val store = FakeTableService()
                store.beforeCall = { call ->
                    if (call == StoreCall.COMMIT) {
                        store.beforeCall = {}
                        FenceStore(store).acquire(endpoint, Incarnation("second"))
                    }
                }

                FenceStore(store).acquire(endpoint, Incarnation("first")).get() shouldBe FencingNumber(2)
            }
        }
    })
