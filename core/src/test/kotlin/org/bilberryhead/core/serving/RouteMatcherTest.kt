package org.bilberryhead.core.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.common.PoolName
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

private fun route(name: String, prefix: String, isPublic: Boolean = false, vararg pools: Pair<String, Double>) =
    ServingRoute(
        name = name,
        host = "a.example",
        prefix = prefix,
        pools = pools.map { WeightedPool(PoolName(it.first), it.second) },
        repeatRule = RepeatRule.IDEMPOTENT,
        timeout = 1.seconds,
        objective = 1.seconds,
        maximumAttempts = 1,
        priority = 0,
        isPublic = isPublic,
    )

private fun matcher(routes: List<ServingRoute>, accounts: Map<ApiKey, AccountEntry>? = null) = RouteMatcher(
    ServingConfiguration(1, routes, emptyMap(), CallerLimits(1, 1, 1.seconds, 1.seconds), accounts),
)

class RouteMatcherTest :
    DescribeSpec({
        val short = route("short", "/a/", isPublic = false, "p" to 1.0)
        val long = route("long", "/a/b/", isPublic = true, "p" to 1.0, "q" to 3.0)

        describe("the route of a request") {
            val matcher = matcher(listOf(short, long))

            it("is the one with the longest prefix of its host") {
                matcher.route("a.example", "/a/b/c") shouldBe long
                matcher.route("A.example:8080", "/a/x") shouldBe short
            }

            it("does not exist for another host, another path or a prefix without its slash") {
                matcher.route("b.example", "/a/b/c") shouldBe null
                matcher.route("a.example", "/b/") shouldBe null
                matcher.route("a.example", "/a") shouldBe null
            }
        }

        describe("the pool of a request") {
            it("is drawn by weight") {
                val random = Random(1)
                val drawn = List(4_000) { matcher(listOf(long)).drawPool(long, random) }
                val share = drawn.count { it.value == "q" } / 4_000.0
                (share in 0.72..0.78) shouldBe true
            }
        }

        describe("the sender of a request") {
            val entry = AccountEntry(ClientAccount("office"), priority = 1)
            val matcher = matcher(listOf(short, long), mapOf(ApiKey("k") to entry))

            it("is known by its key") {
                matcher.identity(short, ApiKey("k")) shouldBe CallerIdentity.Known(entry)
            }

            it("is unknown with another key or without one, except on public routes") {
                matcher.identity(short, ApiKey("x")) shouldBe CallerIdentity.Unknown
                matcher.identity(short, null) shouldBe CallerIdentity.Unknown
                matcher.identity(long, null) shouldBe CallerIdentity.Anonymous
            }

            it("needs no key when there are no accounts") {
                matcher(listOf(short)).identity(short, null) shouldBe CallerIdentity.Anonymous
            }
        }
    })
