package org.bilberryhead.core.serving

import org.bilberryhead.core.common.PoolName
import kotlin.random.Random

/** The sender of a request, as identified by its API key. */
sealed interface CallerIdentity {
    /** No key is needed: the route is public, or the configuration has no list of accounts. */
    data object Anonymous : CallerIdentity

    /** The key belongs to [entry]. */
    data class Known(val entry: AccountEntry) : CallerIdentity

    /** The key belongs to [entry], whose name endpoints cannot be told. */
    data class NotSendable(val entry: AccountEntry) : CallerIdentity

    /** The key is missing or belongs to no account. */
    data object Unknown : CallerIdentity
}

/** Finds the route of a request by host and path, and the account of its API key, in [configuration]. */
class RouteMatcher(val configuration: ServingConfiguration) {
    private val routesByHost = configuration.routes
        .groupBy { it.host.lowercase() }
        .mapValues { (_, routes) -> routes.sortedByDescending { it.prefix.length } }

    /** Returns the route of [host] with the longest prefix that [path] starts with, or null. */
    fun route(host: String, path: String): ServingRoute? =
        routesByHost[withoutPort(host).lowercase()]?.firstOrNull { path.startsWith(it.prefix) }

    /** Returns the sender of a request on [route] with [key]. */
    fun identity(route: ServingRoute, key: ApiKey?): CallerIdentity {
        val accounts = configuration.accounts
        val entry = key?.let { accounts?.get(it) }
        return when {
            entry != null && !entry.isNameSendable -> CallerIdentity.NotSendable(entry)
            entry != null -> CallerIdentity.Known(entry)
            accounts == null || route.isPublic -> CallerIdentity.Anonymous
            else -> CallerIdentity.Unknown
        }
    }

    /** Returns one of the pools of [route] at random, in proportion to their weights. */
    fun drawPool(route: ServingRoute, random: Random): PoolName {
        val pools = route.pools
        if (pools.size == 1) return pools.single().pool
        var remainingWeight = random.nextDouble() * pools.sumOf { it.weight }
        return pools.firstOrNull { candidate ->
            remainingWeight -= candidate.weight
            remainingWeight < 0
        }?.pool ?: pools.last().pool
    }

    private fun withoutPort(host: String): String = host.substringBefore(':')
}
