package org.bilberryhead.system

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.ktor.http.HttpMethod
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.bilberryhead.core.common.ChangeId
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.common.VmId
import org.bilberryhead.core.tables.Endpoint
import org.bilberryhead.core.tables.Pool
import org.bilberryhead.core.tables.Route
import org.bilberryhead.core.tables.TableChange
import org.bilberryhead.core.tables.Tables
import org.bilberryhead.core.testing.FreePorts
import org.bilberryhead.operator.ChangeResponse
import org.bilberryhead.operator.EndpointState
import org.bilberryhead.operator.EntryStatus
import org.bilberryhead.operator.OperatorPaths
import java.nio.file.Files
import java.nio.file.Path
import java.security.MessageDigest
import java.util.UUID
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Timeout of every wait for an event; far longer than any event should take. */
internal val EVENT_TIMEOUT: Duration = 60.seconds

private const val OPERATOR_TOKEN = "operator-token"
private const val CALLER_TOKEN = "caller-token"
private const val LOOPBACK = "127.0.0.1"

/** An effect that the stand-in recorded. */
@Serializable
internal data class Effect(val request: String, val attempt: String, val stage: String, val endpoint: String)

/**
 * The routes, pools and settings of a test system.
 *
 * @property pools number of endpoints of each pool
 * @property relayed whether connections from the entries to each sidecar pass through a relay of the stand-in
 * @property checkingPools pools whose engines refuse orders with old fencing numbers
 * @property sidecarSettings additional YAML lines for the settings of every sidecar
 */
internal data class SystemPlan(
    val routes: List<Route>,
    val pools: Map<String, Int>,
    val relayed: Boolean = false,
    val serviceTime: String = "20ms",
    val streamedStages: List<String> = emptyList(),
    val checkingPools: Set<String> = emptySet(),
    val sidecarSettings: String = "",
)

/** The complete system as separate processes: the stand-in, two entries and a sidecar for each endpoint. */
internal class TestSystem(private val plan: SystemPlan) : AutoCloseable {
    /** The ports of a sidecar; [advertised] is the one in the tables, which is a relay's if the plan is relayed. */
    private class EndpointPorts(val pool: String, val advertised: Int, val listen: Int, val operations: Int)

    private val folder: Path = Files.createTempDirectory(Path.of("target").toAbsolutePath(), "system-")
    private val http = HttpCalls()
    private val json = Json { ignoreUnknownKeys = true }
    private val standin = DaemonProcess(folder, "standin", "bilberry-standin")
    private val standinPort = FreePorts.next()
    private val entryPorts = List(ENTRIES) { FreePorts.next() }
    private val peerPorts = List(ENTRIES) { FreePorts.next() }
    private val ports = plan.pools.flatMap { (pool, size) -> List(size) { "$pool-$it" to portsOf(pool) } }.toMap()

    /** The entries. */
    val entries = List(ENTRIES) { DaemonProcess(folder, "entry-$it", "bilberry-entry") }

    /** The sidecars by the names of their endpoints. */
    val sidecars = ports.keys.associateWith { DaemonProcess(folder, "sidecar-$it", "bilberry-sidecar") }

    private val successors = mutableListOf<DaemonProcess>()

    private val processes get() = entries + sidecars.values + successors + standin

    /** Names of the endpoints of [pool]. */
    fun endpointsOf(pool: String): List<String> = ports.filterValues { it.pool == pool }.keys.toList()

    /** Starts every process and publishes the planned tables. */
    suspend fun start() {
        try {
            startAll()
        } catch (failure: AssertionError) {
            throw AssertionError("the system did not start\n" + processes.joinToString("\n") { it.report() }, failure)
        }
    }

    private suspend fun startAll() {
        standin.start(standinSettings())
        awaitReady(standinPort)
        sidecars.keys.forEach(::startSidecar)
        entries.indices.forEach(::startEntry)
        entries.indices.forEach { awaitLive(it) }
        // Retries propose the same change: a new one would lose the race to an earlier one whose outcome was unknown.
        val change = initialChange()
        eventually(EVENT_TIMEOUT) { propose(change).shouldBeInstanceOf<ChangeResponse.Accepted>() }
        entries.indices.forEach { awaitEntry(it) }
    }

    /** Starts the sidecar of [endpoint]. */
    fun startSidecar(endpoint: String) = sidecars.getValue(endpoint).start(sidecarSettings(endpoint))

    /** Starts a second sidecar of [endpoint] next to the first, and returns it with its address. */
    fun startSuccessorOf(endpoint: String): Pair<DaemonProcess, SocketAddress> {
        val successorPorts = portsOf(ports.getValue(endpoint).pool)
        val successor = DaemonProcess(folder, "successor-$endpoint", "bilberry-sidecar")
        successors += successor
        successor.start(sidecarSettings(endpoint, successorPorts))
        return successor to SocketAddress(LOOPBACK, successorPorts.listen)
    }

    /** Starts entry [number]. */
    fun startEntry(number: Int) = entries[number].start(entrySettings(number))

    /** Starts a second process with the settings, and thus the addresses, of entry [number]. */
    fun startDuplicateOf(number: Int): DaemonProcess =
        DaemonProcess(folder, "duplicate-of-entry-$number", "bilberry-entry").also { it.start(entrySettings(number)) }

    /** Waits until entry [number] is ready and connected to every sidecar, then clears the effects. */
    suspend fun awaitEntry(number: Int) {
        awaitReady(entryPorts[number])
        val endpoints = ports.size
        eventually(EVENT_TIMEOUT) { connectedSidecars(number) shouldBe endpoints }
        clearEffects()
    }

    /** Waits until entry [number] passes its liveness check. */
    suspend fun awaitLive(number: Int) = eventually(EVENT_TIMEOUT) {
        http.call(HttpMethod.Get, "${entryUrl(number)}/health/live").status shouldBe OK
    }

    /** Sends a request through entry [entry]. */
    suspend fun send(
        kind: String,
        entry: Int = 0,
        body: String = """{"question":"where to?"}""",
        headers: Map<String, String> = emptyMap(),
    ): CallerResponse {
        val all = headers + mapOf("Authorization" to "Bearer $CALLER_TOKEN", "Content-Type" to "application/json")
        return http.call(HttpMethod.Post, "${entryUrl(entry)}/v1/requests/$kind", body, all)
    }

    /** Requests a ticket for a request of [kind] from entry [entry]. */
    suspend fun ticket(kind: String, entry: Int = 0): String {
        val headers = mapOf("Authorization" to "Bearer $CALLER_TOKEN")
        val response = http.call(HttpMethod.Post, "${entryUrl(entry)}/v1/tickets/$kind", headers = headers)
        return json.parseToJsonElement(response.body).jsonObject.getValue("ticket").jsonPrimitive.content
    }

    /** Returns all effects that the endpoints recorded. */
    suspend fun effects(): List<Effect> =
        json.decodeFromString(http.call(HttpMethod.Get, "${standinUrl()}/effects").body)

    /** Returns the number of calls that the endpoints have started. */
    suspend fun startedCalls(): Int = http.call(HttpMethod.Get, "${standinUrl()}/effects/calls").body.toInt()

    /** Asserts that the sidecar of [endpoint] reports running attempts to entry 0. */
    suspend fun shouldBeRunning(endpoint: String) {
        val loads = status(entry = 0).endpoints.filter { it.endpoint.value == endpoint }.mapNotNull { it.load }
        loads.any { it.running > 0 } shouldBe true
    }

    /** Asserts that entry [entry] has no connection to the sidecar of [endpoint]. */
    suspend fun shouldBeDisconnected(endpoint: String, entry: Int) {
        val states = status(entry).endpoints.filter { it.endpoint.value == endpoint }.map { it.state }
        states shouldBe listOf(EndpointState.DISCONNECTED)
    }

    /** Asserts that entry [entry] has [count] requests in flight. */
    suspend fun shouldHaveInFlight(entry: Int, count: Int) {
        status(entry).requestsInFlight shouldBe count
    }

    /** Deletes the effects recorded so far. */
    suspend fun clearEffects() {
        http.call(HttpMethod.Delete, "${standinUrl()}/effects").status shouldBe OK
    }

    /** Sets a fault of the stand-in; [path] follows `/faults/`. */
    suspend fun setFault(path: String, body: String) {
        http.call(HttpMethod.Post, "${standinUrl()}/faults/$path", body).status shouldBe OK
    }

    /** Calls [path] of the stand-in and returns the response body. */
    suspend fun standin(method: HttpMethod, path: String): String =
        http.call(method, standinUrl() + path).also { it.status shouldBe OK }.body

    /** Sets the fault [kind] of [endpoint]; [fields] are further JSON fields, each with a leading comma. */
    suspend fun setEndpointFault(endpoint: String, kind: String, fields: String = "") =
        setFault("endpoints/$endpoint", """{"kind":"$kind"$fields}""")

    /** Sets the fault [kind] of the store (service TABLES of the stand-in); [fields] as for [setEndpointFault]. */
    suspend fun setStoreFault(kind: String, fields: String = "") =
        setFault("platform", """{"service":"TABLES","kind":"$kind"$fields}""")

    /** Sets the mode of the relay in front of the sidecar of [endpoint]. */
    suspend fun setRelayMode(endpoint: String, mode: String) = setFault("relays/$endpoint", """{"mode":"$mode"}""")

    /** Returns the current tables of entry [entry], or null when it does not respond with status 200. */
    suspend fun tables(entry: Int): Tables? {
        val response = operatorCall(HttpMethod.Get, OperatorPaths.TABLES, entry)
        return if (response.status == OK) json.decodeFromString<Tables>(response.body) else null
    }

    /** Proposes [change] at entry [entry]; returns null when there is no JSON response. */
    suspend fun propose(change: TableChange, entry: Int = 0, isFirst: Boolean = true): ChangeResponse? {
        val path = "${OperatorPaths.CHANGES}?${OperatorPaths.FIRST}=$isFirst"
        return parseChangeResponse(operatorCall(HttpMethod.Post, path, entry, Json.encodeToString(change)))
    }

    /** Queries the outcome of the change [id] at entry [entry]. */
    suspend fun outcomeOf(id: ChangeId, entry: Int = 0): ChangeResponse? =
        parseChangeResponse(operatorCall(HttpMethod.Get, OperatorPaths.CHANGE.replace("{id}", id.value), entry))

    /** Returns a change of [tables] that only puts [route]. */
    fun changeOf(tables: Tables, route: Route) = emptyChange(tables).copy(putRoutes = listOf(route))

    /** Returns a change of [tables] that only puts [pool]. */
    fun changeOf(tables: Tables, pool: Pool) = emptyChange(tables).copy(putPools = listOf(pool))

    override fun close() {
        processes.forEach { it.kill() }
        http.close()
    }

    private fun parseChangeResponse(response: CallerResponse): ChangeResponse? =
        if (response.body.startsWith("{")) json.decodeFromString<ChangeResponse>(response.body) else null

    private suspend fun operatorCall(method: HttpMethod, path: String, entry: Int, body: String = ""): CallerResponse {
        val headers = mapOf("Authorization" to "Bearer $OPERATOR_TOKEN", "Content-Type" to "application/json")
        return http.call(method, entryUrl(entry) + path, body, headers)
    }

    private suspend fun connectedSidecars(entry: Int): Int {
        return status(entry).endpoints.count { it.state == EndpointState.SERVING }
    }

    private suspend fun status(entry: Int): EntryStatus =
        json.decodeFromString(operatorCall(HttpMethod.Get, OperatorPaths.STATUS, entry).body)

    private suspend fun awaitReady(port: Int) = eventually(EVENT_TIMEOUT) {
        http.call(HttpMethod.Get, "http://$LOOPBACK:$port/health/ready").status shouldBe OK
    }

    private fun entryUrl(number: Int) = "http://$LOOPBACK:${entryPorts[number]}"

    /** The base URL of the stand-in for the platform and the endpoints. */
    fun standinUrl() = "http://$LOOPBACK:$standinPort"

    private fun emptyChange(tables: Tables) = TableChange(
        id = ChangeId(UUID.randomUUID().toString()),
        baseVersion = tables.version,
        author = "",
        madeAt = Clock.System.now(),
    )

    private fun initialChange() = emptyChange(Tables()).copy(
        putRoutes = plan.routes,
        putPools = plan.pools.keys.map { pool ->
            Pool(
                name = PoolName(pool),
                endpoints = ports.filterValues { it.pool == pool }.map { (id, ports) -> endpoint(id, ports) },
                checksFencing = pool in plan.checkingPools,
            )
        },
    )

    private fun endpoint(id: String, ports: EndpointPorts) = Endpoint(
        EndpointId(id),
        DataCentre("nashua"),
        SocketAddress(LOOPBACK, ports.advertised),
        VmId("vm-$id"),
    )

    private fun portsOf(pool: String): EndpointPorts {
        val listen = FreePorts.next()
        return EndpointPorts(pool, if (plan.relayed) FreePorts.next() else listen, listen, FreePorts.next())
    }

    private fun standinSettings(): String {
        val relays = if (plan.relayed) {
            ports.map { (id, ports) ->
                "  - {name: $id, listen: {host: $LOOPBACK, port: ${ports.advertised}}, " +
                    "target: {host: $LOOPBACK, port: ${ports.listen}}}"
            }
        } else {
            emptyList()
        }
        return """
            listen: {host: $LOOPBACK, port: $standinPort}
            serviceTime: ${plan.serviceTime}
            streamedStages: ${plan.streamedStages}
            endpoints: ${endpointsThatCheckFencing()}
        """.trimIndent() + if (relays.isEmpty()) "" else relays.joinToString("\n", prefix = "\nrelays:\n")
    }

    private fun endpointsThatCheckFencing(): List<String> =
        ports.filterValues { it.pool in plan.checkingPools }.keys.map { "{id: $it, checksFencing: true}" }

    private fun sidecarSettings(endpoint: String, ports: EndpointPorts = this.ports.getValue(endpoint)): String =
        """
            endpoint: $endpoint
            dataCentre: nashua
            listen: {host: $LOOPBACK, port: ${ports.listen}}
            operations: {host: $LOOPBACK, port: ${ports.operations}}
            endpointUrl: ${standinUrl()}/endpoints/$endpoint
            platformUrl: ${standinUrl()}
            ${plan.sidecarSettings}
        """.trimIndent()

    private fun entrySettings(number: Int): String {
        val peers = peerPorts.filterIndexed { index, _ -> index != number }.map { "{host: $LOOPBACK, port: $it}" }
        return """
            id: entry-$number
            dataCentre: nashua
            listen: {host: $LOOPBACK, port: ${entryPorts[number]}}
            peerListen: {host: $LOOPBACK, port: ${peerPorts[number]}}
            platformUrl: ${standinUrl()}
            peers: $peers
            clientAccounts:
              - {account: test-account, tokenSha256: ${digest(CALLER_TOKEN)}}
            operators:
              - {name: test-operator, tokenSha256: ${digest(OPERATOR_TOKEN)}}
        """.trimIndent()
    }

    private companion object {
        const val ENTRIES = 2
        const val OK = 200

        fun digest(token: String): String =
            MessageDigest.getInstance("SHA-256").digest(token.encodeToByteArray()).toHexString()
    }
}
