package org.bilberryhead.entry

import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import io.ktor.server.routing.routing
import io.ktor.server.testing.ApplicationTestBuilder
import io.ktor.server.testing.testApplication
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.json.Json
import org.bilberryhead.core.common.ChangeId
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.routing.LeastInFlightSelector
import org.bilberryhead.core.tables.Endpoint
import org.bilberryhead.core.tables.Pool
import org.bilberryhead.core.tables.TableChange
import org.bilberryhead.core.testing.FreePorts
import org.bilberryhead.core.testing.TestClock
import org.bilberryhead.core.testing.testRoute
import org.bilberryhead.daemon.MonotonicClock
import org.bilberryhead.daemon.newMeterRegistry
import org.bilberryhead.operator.ChangeResponse
import org.bilberryhead.operator.OperatorPaths
import org.bilberryhead.platform.TableLog
import org.bilberryhead.platform.testing.FakeTableService
import org.bilberryhead.sidecar.EndpointCaller
import org.bilberryhead.sidecar.EngineOrderExecutor
import org.bilberryhead.sidecar.SidecarDaemon
import org.bilberryhead.sidecar.SidecarMetrics
import org.bilberryhead.sidecar.SidecarSettings
import java.security.MessageDigest
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val SIDECARS = 4
private const val TOKEN = "operator-token"

/** Two entries and [SIDECARS] sidecars in this process, on real sockets, with one fake table service. */
internal class LoopbackSystem {
    private val json = Json { encodeDefaults = true }
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val entryPorts = List(2) { FreePorts.next() }
    private val sidecarPorts = List(SIDECARS) { FreePorts.next() }
    private val tokens = Tokens(emptyList(), listOf(OperatorToken("ann", digest(TOKEN))))
    val store = FakeTableService()
    val entries = List(2) { entry(it) }

    suspend fun start() {
        repeat(SIDECARS) { sidecar(it).start() }
        entries.forEach { it.start() }
        withTimeout(20.seconds) { while (!arePeersConnected()) delay(1.milliseconds) }
    }

    fun stop() {
        entries.forEach { it.stop() }
        scope.cancel()
    }

    /** Runs [block] with the operators' interface of the first entry. */
    fun withOperators(block: suspend ApplicationTestBuilder.() -> Unit) = testApplication {
        routing { OperatorRoutes(entries[0], TableLog(store), tokens).install(this) }
        block()
    }

    suspend fun ApplicationTestBuilder.propose(change: TableChange, isFirst: Boolean = true): ChangeResponse {
        val response = client.post("${OperatorPaths.CHANGES}?${OperatorPaths.FIRST}=$isFirst") {
            header(HttpHeaders.Authorization, "Bearer $TOKEN")
            setBody(json.encodeToString(change))
        }
        return json.decodeFromString(response.bodyAsText())
    }

    suspend fun ApplicationTestBuilder.read(path: String): HttpResponse =
        client.get(path) { header(HttpHeaders.Authorization, "Bearer $TOKEN") }

    /** Waits until both entries and all sidecars hold [version]. */
    suspend fun awaitEverywhere(version: Long) = withTimeout(20.seconds) {
        while (!isEverywhere(TableVersion(version))) delay(1.milliseconds)
    }

    /** Returns the first change: the pool of all sidecars and a route to it. */
    fun firstChange(): TableChange = change("first", base = 0).copy(putRoutes = listOf(testRoute()))

    fun change(id: String, base: Long, concurrency: Int = 4): TableChange = TableChange(
        id = ChangeId(id),
        baseVersion = TableVersion(base),
        author = "",
        madeAt = TestClock.START,
        putPools = listOf(Pool(PoolName("generate"), List(SIDECARS) { endpoint(it) }, concurrency)),
    )

    private suspend fun arePeersConnected(): Boolean =
        entries.all { entry -> entry.view().peers.all { it.tableVersion != null } }

    private suspend fun isEverywhere(version: TableVersion): Boolean {
        val sidecarVersions = entries[0].view().sidecarVersions.values
        val isAtSidecars = sidecarVersions.size == SIDECARS && sidecarVersions.all { it != null && it >= version }
        return isAtSidecars && entries.all { it.tables.version >= version }
    }

    private fun entry(index: Int): ControlPlane {
        val settings = EntrySettings(
            id = DaemonId("entry-$index"),
            dataCentre = DataCentre("nashua"),
            listen = SocketAddress("127.0.0.1", 1),
            peerListen = address(entryPorts[index]),
            platformUrl = "http://127.0.0.1:1",
            peers = listOf(address(entryPorts[1 - index])),
        )
        val control = ControlPlane(settings, TableLog(store), MonotonicClock(), scope, random = Random(index))
        control.selector = LeastInFlightSelector(control.directory, Random(index))
        return control
    }

    private fun sidecar(index: Int): SidecarDaemon {
        val settings = SidecarSettings(
            endpoint = EndpointId("generate-$index"),
            dataCentre = DataCentre("nashua"),
            listen = address(sidecarPorts[index]),
            operations = SocketAddress("127.0.0.1", 1),
            endpointUrl = "http://127.0.0.1:1",
            platformUrl = "http://127.0.0.1:1",
        )
        return SidecarDaemon(
            settings,
            Incarnation("run-$index"),
            MonotonicClock(),
            EndpointCaller(settings.endpointUrl),
            SidecarMetrics(newMeterRegistry()),
            EngineOrderExecutor.of(settings, Incarnation("run-$index"), MonotonicClock()),
            onBrokenInvariant = { error("an invariant of sidecar $index is violated") },
        )
    }

    private fun endpoint(index: Int) =
        Endpoint(EndpointId("generate-$index"), DataCentre("nashua"), address(sidecarPorts[index]))

    private fun address(port: Int) = SocketAddress("127.0.0.1", port)

    private fun digest(token: String) =
        MessageDigest.getInstance("SHA-256").digest(token.encodeToByteArray()).toHexString()
}
