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

/** Limit of every wait for an event; far above what any should take. */
internal val EVENT_LIMIT: Duration = 60.seconds

private const val OPERATOR_TOKEN = "operator-token"
private const val CALLER_TOKEN = "caller-token"
private const val LOOPBACK = "127.0.0.1"

/** One effect that the stand-in recorded. */
@Serializable
internal data class Effect(val request: String, val attempt: String, val stage: String, val endpoint: String)

/**
 * What to start.
 *
 * @property pools number of endpoints of each pool
 * @property relayed whether a relay stands between the entries and each sidecar
 * @property checking pools whose endpoints refuse orders with old fencing numbers
 * @property sidecarSettings further lines of every sidecar's settings
 */
internal data class SystemPlan(
    val routes: List<Route>,
    val pools: Map<String, Int>,
    val relayed: Boolean = false,
    val serviceTime: String = "20ms",
    val streamedStages: List<String> = emptyList(),
    val checking: Set<String> = emptySet(),
    val sidecarSettings: String = "",
)

/** The whole system as separate processes: stand-ins, two entries and a sidecar for each endpoint. */
internal class TestSystem(private val plan: SystemPlan) : AutoCloseable {
    private class EndpointPorts(val pool: String, val table: Int, val listen: Int, val operations: Int)

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

    /** Starts every process and puts the planned tables in force. */
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
        // The same change each time: another one would lose to the first whose answer was not "accepted".
        val change = firstChange()
        eventually(EVENT_LIMIT) { propose(change).shouldBeInstanceOf<ChangeResponse.Accepted>() }
        entries.indices.forEach { awaitEntry(it) }
    }

    /** Starts the sidecar of [endpoint]. */
    fun startSidecar(endpoint: String) = sidecars.getValue(endpoint).start(sidecarSettings(endpoint))

    /** Starts another sidecar of [endpoint] beside the first, and returns it with its address. */
    fun startSuccessorOf(endpoint: String): Pair<DaemonProcess, SocketAddress> {
        val successorPorts = portsOf(ports.getValue(endpoint).pool)
        val successor = DaemonProcess(folder, "successor-$endpoint", "bilberry-sidecar")
        successors += successor
        successor.start(sidecarSettings(endpoint, successorPorts))
        return successor to SocketAddress(LOOPBACK, successorPorts.listen)
    }

    /** Starts entry [number]. */
    fun startEntry(number: Int) = entries[number].start(entrySettings(number))

    /** Starts a second process with the settings, and so the addresses, of entry [number]. */
    fun startTwinOf(number: Int): DaemonProcess =
        DaemonProcess(folder, "twin-of-entry-$number", "bilberry-entry").also { it.start(entrySettings(number)) }

    /** Waits until entry [number] has tables and every sidecar serves it. */
    suspend fun awaitEntry(number: Int) {
        awaitReady(entryPorts[number])
        val endpoints = ports.size
        eventually(EVENT_LIMIT) { connectedSidecars(number) shouldBe endpoints }
        clearEffects()
    }

    /** Waits until entry [number] answers at all. */
    suspend fun awaitLive(number: Int) = eventually(EVENT_LIMIT) {
        http.call(HttpMethod.Get, "${entryUrl(number)}/health/live").status shouldBe OK
    }

    /** Sends a request through entry [entry]. */
    suspend fun send(
        kind: String,
        entry: Int = 0,
        body: String = """{"question":"where to?"}""",
        headers: Map<String, String> = emptyMap(),
    ): CallerAnswer {
        val all = headers + mapOf("Authorization" to "Bearer $CALLER_TOKEN", "Content-Type" to "application/json")
        return http.call(HttpMethod.Post, "${entryUrl(entry)}/v1/requests/$kind", body, all)
    }

    /** Returns a ticket for a request of [kind], which entry [entry] hands out. */
    suspend fun ticket(kind: String, entry: Int = 0): String {
        val headers = mapOf("Authorization" to "Bearer $CALLER_TOKEN")
        val answer = http.call(HttpMethod.Post, "${entryUrl(entry)}/v1/tickets/$kind", headers = headers)
        return json.parseToJsonElement(answer.body).jsonObject.getValue("ticket").jsonPrimitive.content
    }

    /** Returns every effect that endpoints had. */
    suspend fun effects(): List<Effect> =
        json.decodeFromString(http.call(HttpMethod.Get, "${standinUrl()}/effects").body)

    /** Returns how many calls endpoints have begun to work on. */
    suspend fun begunCalls(): Int = http.call(HttpMethod.Get, "${standinUrl()}/effects/calls").body.toInt()

    /** Passes when the sidecar of [endpoint] reports work to entry 0. */
    suspend fun shouldBeRunning(endpoint: String) {
        val loads = status(entry = 0).endpoints.filter { it.endpoint.value == endpoint }.mapNotNull { it.load }
        loads.any { it.running > 0 } shouldBe true
    }

    /** Passes when entry [entry] has no connection to the sidecar of [endpoint]. */
    suspend fun shouldBeDisconnected(endpoint: String, entry: Int) {
        val states = status(entry).endpoints.filter { it.endpoint.value == endpoint }.map { it.state }
        states shouldBe listOf(EndpointState.DISCONNECTED)
    }

    /** Passes when entry [entry] works on [count] requests. */
    suspend fun shouldHaveInFlight(entry: Int, count: Int) {
        status(entry).requestsInFlight shouldBe count
    }

    /** Forgets the effects so far. */
    suspend fun clearEffects() {
        http.call(HttpMethod.Delete, "${standinUrl()}/effects").status shouldBe OK
    }

    /** Switches a fault of the stand-in; [path] follows `/faults/`. */
    suspend fun fault(path: String, body: String) {
        http.call(HttpMethod.Post, "${standinUrl()}/faults/$path", body).status shouldBe OK
    }

    /** Calls [path] of the stand-in and returns its answer. */
    suspend fun standin(method: HttpMethod, path: String): String =
        http.call(method, standinUrl() + path).also { it.status shouldBe OK }.body

    /** Sets the fault [kind] of [endpoint]. */
    suspend fun endpointFault(endpoint: String, kind: String, more: String = "") =
        fault("endpoints/$endpoint", """{"kind":"$kind"$more}""")

    /** Sets the fault [kind] of the table service. */
    suspend fun storeFault(kind: String, more: String = "") =
        fault("platform", """{"service":"TABLES","kind":"$kind"$more}""")

    /** Sets the mode of the relay before the sidecar of [endpoint]. */
    suspend fun relay(endpoint: String, mode: String) = fault("relays/$endpoint", """{"mode":"$mode"}""")

    /** Returns the tables in force at entry [entry], or null when it does not tell. */
    suspend fun tables(entry: Int): Tables? {
        val answer = operatorCall(HttpMethod.Get, OperatorPaths.TABLES, entry)
        return if (answer.status == OK) json.decodeFromString<Tables>(answer.body) else null
    }

    /** Proposes [change] at entry [entry]; null when no answer came. */
    suspend fun propose(change: TableChange, entry: Int = 0, isFirst: Boolean = true): ChangeResponse? {
        val path = "${OperatorPaths.CHANGES}?${OperatorPaths.FIRST}=$isFirst"
        return changeAnswer(operatorCall(HttpMethod.Post, path, entry, Json.encodeToString(change)))
    }

    /** Asks entry [entry] what became of the change [id]. */
    suspend fun outcomeOf(id: ChangeId, entry: Int = 0): ChangeResponse? =
        changeAnswer(operatorCall(HttpMethod.Get, OperatorPaths.CHANGE.replace("{id}", id.value), entry))

    /** Returns a change of [tables] that puts [route] and nothing else. */
    fun changeOf(tables: Tables, route: Route) = emptyChange(tables).copy(putRoutes = listOf(route))

    /** Returns a change of [tables] that puts [pool] and nothing else. */
    fun changeOf(tables: Tables, pool: Pool) = emptyChange(tables).copy(putPools = listOf(pool))

    override fun close() {
        processes.forEach { it.kill() }
        http.close()
    }

    private fun changeAnswer(answer: CallerAnswer): ChangeResponse? =
        if (answer.body.startsWith("{")) json.decodeFromString<ChangeResponse>(answer.body) else null

    private suspend fun operatorCall(method: HttpMethod, path: String, entry: Int, body: String = ""): CallerAnswer {
        val headers = mapOf("Authorization" to "Bearer $OPERATOR_TOKEN", "Content-Type" to "application/json")
        return http.call(method, entryUrl(entry) + path, body, headers)
    }

    private suspend fun connectedSidecars(entry: Int): Int {
        return status(entry).endpoints.count { it.state == EndpointState.SERVING }
    }

    private suspend fun status(entry: Int): EntryStatus =
        json.decodeFromString(operatorCall(HttpMethod.Get, OperatorPaths.STATUS, entry).body)

    private suspend fun awaitReady(port: Int) = eventually(EVENT_LIMIT) {
        http.call(HttpMethod.Get, "http://$LOOPBACK:$port/health/ready").status shouldBe OK
    }

    private fun entryUrl(number: Int) = "http://$LOOPBACK:${entryPorts[number]}"

    /** Where the stand-in of the platform and the endpoints listens. */
    fun standinUrl() = "http://$LOOPBACK:$standinPort"

    private fun emptyChange(tables: Tables) = TableChange(
        id = ChangeId(UUID.randomUUID().toString()),
        baseVersion = tables.version,
        author = "",
        madeAt = Clock.System.now(),
    )

    private fun firstChange() = emptyChange(Tables()).copy(
        putRoutes = plan.routes,
        putPools = plan.pools.keys.map { pool ->
            Pool(
                name = PoolName(pool),
                endpoints = ports.filterValues { it.pool == pool }.map { (id, ports) -> endpoint(id, ports) },
                checksFencing = pool in plan.checking,
            )
        },
    )

    private fun endpoint(id: String, ports: EndpointPorts) = Endpoint(
        EndpointId(id),
        DataCentre("nashua"),
        SocketAddress(LOOPBACK, ports.table),
        VmId("vm-$id"),
    )

    private fun portsOf(pool: String): EndpointPorts {
        val listen = FreePorts.next()
        return EndpointPorts(pool, if (plan.relayed) FreePorts.next() else listen, listen, FreePorts.next())
    }

    private fun standinSettings(): String {
        val relays = if (plan.relayed) {
            ports.map { (id, ports) ->
                "  - {name: $id, listen: {host: $LOOPBACK, port: ${ports.table}}, " +
                    "target: {host: $LOOPBACK, port: ${ports.listen}}}"
            }
        } else {
            emptyList()
        }
        return """
            listen: {host: $LOOPBACK, port: $standinPort}
            serviceTime: ${plan.serviceTime}
            streamedStages: ${plan.streamedStages}
            endpoints: ${checkingEndpoints()}
        """.trimIndent() + if (relays.isEmpty()) "" else relays.joinToString("\n", prefix = "\nrelays:\n")
    }

    private fun checkingEndpoints(): List<String> =
        ports.filterValues { it.pool in plan.checking }.keys.map { "{id: $it, checksFencing: true}" }

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
