package org.bilberryhead.soak

import org.bilberryhead.platform.testing.RowStore
import org.bilberryhead.platform.wire.RowKey
import org.bilberryhead.platform.wire.WireTables
import kotlin.random.Random

/**
 * Writes configurations as an operator does: routes come and go elsewhere, a route's pool moves and returns, timeouts,
 * objectives and limits rise and fall, client keys are added. The routes that callers use stay. After a
 * restore of the store the operator writes the configuration again.
 */
internal class OperatorChanges(private val store: RowStore, private val random: Random) {
    private enum class Change { OTHER_ROUTE, POOL, TIMEOUT, IDLE_TIMEOUT, OBJECTIVE, KEY }

    private var version = 1
    private val otherRoutes = mutableSetOf<Int>()
    private val keys = mutableListOf(API_KEY)
    private val pools = mutableMapOf("plain" to "plain", "order" to "plain", "resume" to "llm")
    private val timeoutsMs = mutableMapOf("plain" to MIN_TIMEOUT_MS, "order" to MIN_TIMEOUT_MS)

    private var objectiveMs = MAX_OBJECTIVE_MS
    private var gapMs = MAX_GAP_MS

    /** The idle timeout in force since the last write. */
    @Volatile
    var idleTimeoutMs = MAX_IDLE_TIMEOUT_MS
        private set

    /** Changes one thing at random and writes the configuration. */
    @Synchronized
    fun change(): String {
        val description = changeOne()
        version += random.nextInt(1, MAX_VERSION_STEP)
        write()
        return "configuration $version: $description"
    }

    /** Lets the store come back from [copy], and writes the configuration again. */
    @Synchronized
    fun restoreStore(copy: RowStore.Copy): String {
        store.restore(copy)
        write()
        return "the store comes back from a copy"
    }

    /** Copies the rows of the store. */
    fun copyStore(): RowStore.Copy = store.copy()

    /** Writes the configuration as it is. */
    fun write() = store.put(RowKey(WireTables.OPERATOR, WireTables.CONFIGURATION_KEY), configuration())

    private fun changeOne(): String = when (Change.entries.random(random)) {
        Change.OTHER_ROUTE -> {
            val number = random.nextInt(MAX_OTHER_ROUTES)
            if (!otherRoutes.add(number)) otherRoutes -= number
            "route $number elsewhere"
        }

        Change.POOL -> {
            val route = pools.keys.random(random)
            val home = if (route == "resume") "llm" else "plain"
            pools[route] = if (pools[route] == home) "${home}2" else home
            "route $route to ${pools[route]}"
        }

        Change.TIMEOUT -> {
            val route = timeoutsMs.keys.random(random)
            timeoutsMs[route] = random.nextInt(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS)
            "timeout of $route ${timeoutsMs[route]} ms"
        }

        Change.IDLE_TIMEOUT -> {
            idleTimeoutMs = random.nextLong(MIN_IDLE_TIMEOUT_MS, MAX_IDLE_TIMEOUT_MS)
            "idle timeout $idleTimeoutMs ms"
        }

        Change.OBJECTIVE -> {
            objectiveMs = random.nextInt(MIN_OBJECTIVE_MS, MAX_OBJECTIVE_MS)
            gapMs = random.nextInt(MIN_GAP_MS, MAX_GAP_MS)
            "objective of the streams $objectiveMs ms, longest gap $gapMs ms"
        }

        Change.KEY -> {
            keys += "$API_KEY-$version"
            "a client key"
        }
    }

    private fun configuration(): String {
        val others = otherRoutes.joinToString("") {
            """,{"name":"x$it","host":"$HOST","prefix":"/other$it/","route_type":"idempotent","service":"plain"}"""
        }
        return """
        {"version":$version,"routes":[
        {"name":"a","host":"$HOST","prefix":"/plain/","route_type":"idempotent","timeout_ms":${timeoutsMs["plain"]},
         "max_attempts":2,"service":"${pools["plain"]}"},
        {"name":"b","host":"$HOST","prefix":"/order/","route_type":"non_idempotent",
         "timeout_ms":${timeoutsMs["order"]},"max_attempts":2,"service":"${pools["order"]}"},
        {"name":"c","host":"$HOST","prefix":"/stream/","route_type":"streaming","timeout_ms":$MAX_TIMEOUT_MS,
         "slo_ms":$objectiveMs,"gap_slo_ms":$gapMs,"service":"llm","stages":[{"service":"st","after":[],"bytes":800}]},
        {"name":"d","host":"$HOST","prefix":"/resume/","route_type":"streaming","resumable":true,
         "timeout_ms":$MAX_TIMEOUT_MS,"slo_ms":$objectiveMs,"gap_slo_ms":$gapMs,"max_attempts":2,"service":"${pools["resume"]}"}$others],
        "services":[{"name":"plain","max_conns":50},{"name":"plain2","max_conns":50},
        {"name":"llm","max_conns":50,"engine":{"slots":4}},{"name":"llm2","max_conns":50,"engine":{"slots":4}},
        {"name":"st","max_conns":50,"pieces":{"slots":1,"queue":8,"batch":2,"call_ms":10,"item_ms":1}}],
        "limits":{"idle_timeout_ms":$idleTimeoutMs},
        "tenants":[{"name":"account","api_keys":[${keys.joinToString(",") { "\"$it\"" }}]}]}
        """.trimIndent()
    }

    /** What callers and endpoints need to know of the configuration. */
    companion object {
        /** Host of all routes. */
        const val HOST = "soak"

        /** The key that callers use; it is never removed. */
        const val API_KEY = "key"

        /** Pools of endpoints, and how many endpoints each one has. */
        val POOL_SIZES = mapOf("plain" to 3, "plain2" to 2, "llm" to 3, "llm2" to 2, "st" to 3)

        /** Shortest and longest timeout of a route. */
        const val MIN_TIMEOUT_MS = 6_000
        private const val MAX_TIMEOUT_MS = 12_000
        private const val MIN_IDLE_TIMEOUT_MS = 1_500L
        private const val MAX_IDLE_TIMEOUT_MS = 4_000L
        private const val MIN_OBJECTIVE_MS = 200
        private const val MAX_OBJECTIVE_MS = 2_000
        private const val MIN_GAP_MS = 50
        private const val MAX_GAP_MS = 800
        private const val MAX_OTHER_ROUTES = 6
        private const val MAX_VERSION_STEP = 4
    }
}
