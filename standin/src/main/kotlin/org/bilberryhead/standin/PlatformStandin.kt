package org.bilberryhead.standin

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receive
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import org.bilberryhead.platform.Condition
import org.bilberryhead.platform.TableRow
import org.bilberryhead.platform.Transaction
import java.util.TreeMap
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds

/** Simulates the table service, the object store and the VM list in memory. */
class PlatformStandin {
    private val json = Json { encodeDefaults = true }
    private val rows = TreeMap<String, TableRow>()
    private val objects = ConcurrentHashMap<String, ByteArray>()
    private val faults = PlatformService.entries.associateWith { service ->
        FaultSwitch(PlatformFault(service, PlatformFaultKind.NONE))
    }

    private val vms = LaggingVmList()

    /** Adds the HTTP routes of the platform services and the route that sets their faults. */
    fun install(route: Route) = with(route) {
        tableRoutes()
        objectRoutes()
        get("/vms") { respondWithFault(PlatformService.VMS) { Response.text(json.encodeToString(vms.visibleVms())) } }
        put("/vms") {
            val lagMillis = call.queryParameter("lagMillis").toLongOrNull() ?: 0
            vms.set(json.decodeFromString(call.receiveText()), lagMillis.milliseconds)
            call.respondText("set\n")
        }
        post("/faults/platform") {
            val fault = json.decodeFromString<PlatformFault>(call.receiveText())
            faults.getValue(fault.service).set(fault, fault.calls)
            call.respondText("set\n")
        }
    }

    private fun Route.tableRoutes() {
        get("/tables/row") {
            respondWithFault(PlatformService.TABLES) {
                val row = synchronized(rows) { rows[queryParameter("key")] }
                if (row == null) Response.ABSENT else Response.text(json.encodeToString(row))
            }
        }
        get("/tables/rows") {
            respondWithFault(PlatformService.TABLES) { Response.text(json.encodeToString(scan())) }
        }
        post("/tables/transactions") {
            val transaction = json.decodeFromString<Transaction>(call.receiveText())
            respondWithFault(PlatformService.TABLES, isWrite = true) { commit(transaction) }
        }
    }

    private fun Route.objectRoutes() {
        get("/objects/{name...}") {
            respondWithFault(PlatformService.OBJECTS) {
                objects[parameters.getAll("name").orEmpty().joinToString("/")]?.let { Response(it) } ?: Response.ABSENT
            }
        }
        put("/objects/{name...}") {
            val content = call.receive<ByteArray>()
            respondWithFault(PlatformService.OBJECTS, isWrite = true) {
                objects[parameters.getAll("name").orEmpty().joinToString("/")] = content
                Response.text("stored\n")
            }
        }
    }

    private fun ApplicationCall.scan(): List<TableRow> = synchronized(rows) {
        val prefix = queryParameter("prefix")
        val after = queryParameter("after")
        val tail = if (after > prefix) rows.tailMap(after, false) else rows.tailMap(prefix, true)
        tail.values.asSequence().takeWhile { it.key.startsWith(prefix) }.take(queryParameter("limit").toInt()).toList()
    }

    private fun commit(transaction: Transaction): Response = synchronized(rows) {
        val unmet = transaction.conditions.find { !holds(it) }
        if (unmet != null) return Response.text("condition on ${unmet.key} does not hold", HttpStatusCode.Conflict)
        for (write in transaction.writes) {
            val version = (rows[write.key]?.version ?: 0) + 1
            rows[write.key] = TableRow(write.key, write.value, version)
        }
        Response.text("committed\n")
    }

    private fun holds(condition: Condition): Boolean = when (condition) {
        is Condition.Absent -> condition.key !in rows
        is Condition.HasVersion -> rows[condition.key]?.version == condition.version
    }

    /** Responds with the result of [operation], subject to the current fault of [service]. */
    private suspend fun RoutingContext.respondWithFault(
        service: PlatformService,
        isWrite: Boolean = false,
        operation: ApplicationCall.() -> Response,
    ) {
        val fault = faults.getValue(service).next { isWrite || !it.writesOnly }.fault
        if (fault.kind == PlatformFaultKind.DOWN) {
            call.respondText("down\n", status = HttpStatusCode.ServiceUnavailable)
            return
        }
        if (fault.kind == PlatformFaultKind.SILENT) awaitCancellation()
        if (fault.kind == PlatformFaultKind.SLOW) delay(fault.delayMillis)
        val response = call.operation()
        if (fault.kind == PlatformFaultKind.LOSE_ANSWERS) awaitCancellation()
        call.respondBytes(response.body, ContentType.Application.Json, response.status)
    }

    private class Response(val body: ByteArray, val status: HttpStatusCode = HttpStatusCode.OK) {
        companion object {
            val ABSENT = Response(ByteArray(0), HttpStatusCode.NotFound)

            fun text(text: String, status: HttpStatusCode = HttpStatusCode.OK) =
                Response(text.encodeToByteArray(), status)
        }
    }
}

private fun ApplicationCall.queryParameter(name: String): String = request.queryParameters[name].orEmpty()
