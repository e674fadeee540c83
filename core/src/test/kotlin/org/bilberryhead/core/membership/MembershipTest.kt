package org.bilberryhead.core.membership

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.common.VmId
import org.bilberryhead.core.tables.Endpoint
import org.bilberryhead.core.tables.Pool
import org.bilberryhead.core.tables.Tables

private fun pool(size: Int) = Pool(
    PoolName("generate"),
    List(size) {
        val address = SocketAddress("127.0.0.1", 20_000 + it)
        Endpoint(EndpointId("generate-$it"), DataCentre("nashua"), address, VmId("vm-$it"))
    },
)

private val tables = Tables(pools = mapOf(PoolName("generate") to pool(2)))
private val endpoint = EndpointId("generate-0")

private fun entries(count: Int) = (1..count).map { "10.0.0.$it:7000" }.toSet()

class MembershipTest :
    DescribeSpec({
        describe("an endpoint") {
            val cases = listOf(
                Triple(null, ConnectionState.SERVING, Eligibility.ELIGIBLE),
                Triple(ListedState.LIVE, ConnectionState.SERVING, Eligibility.ELIGIBLE),
                Triple(ListedState.LEAVING, ConnectionState.SERVING, Eligibility.VM_LEAVING),
                Triple(ListedState.LIVE, ConnectionState.LEAVING, Eligibility.SIDECAR_LEAVING),
                Triple(ListedState.LIVE, ConnectionState.NONE, Eligibility.NOT_CONNECTED),
            )
            for ((listed, connection, expected) in cases) {
                it("has eligibility $expected with the VM listed as $listed and the connection $connection") {
                    val vmStates = listed?.let { mapOf(VmId("vm-0") to it) }.orEmpty()

                    Membership(tables, vmStates).eligibility(endpoint, PoolName("generate"), connection) shouldBe
                        expected
                }
            }
            it("gets no new work once it was removed from its pool, even if its sidecar is still serving") {
                val removed = Tables(pools = mapOf(PoolName("generate") to pool(2).copy(endpoints = emptyList())))

                Membership(removed).eligibility(endpoint, PoolName("generate"), ConnectionState.SERVING) shouldBe
                    Eligibility.NOT_IN_POOL
            }
        }
        describe("the endpoint subset of an entry") {
            it("is the complete pool when there are few entries") {
                EndpointSubset("10.0.0.1:7000", entries(3)).choose(pool(13)).size shouldBe 13
            }
            it("assigns the same number of entries to each endpoint and similar numbers of endpoints to each entry") {
                val all = entries(40)
                val chosen = all.map { EndpointSubset(it, all).choose(pool(400)) }

                chosen.flatten().groupingBy { it.id }.eachCount().values.toSet() shouldBe setOf(3)
                chosen.forEach { it.size shouldBeInRange 15..50 }
            }
            it("gains only endpoints of the removed entry when another entry is removed") {
                val all = entries(40)
                val fewer = all - "10.0.0.40:7000"
                val moved = fewer.sumOf { entry ->
                    val before = EndpointSubset(entry, all).choose(pool(400)).map { it.id }.toSet()
                    val after = EndpointSubset(entry, fewer).choose(pool(400)).map { it.id }
                    after.shouldContainAll(before)
                    after.count { it !in before }
                }

                // The endpoints of the removed entry are spread over the others; no other assignment changes.
                moved shouldBe EndpointSubset("10.0.0.40:7000", all).choose(pool(400)).size
                moved shouldBeLessThan 60
            }
        }
    })
