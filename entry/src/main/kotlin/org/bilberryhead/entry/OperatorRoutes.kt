package org.bilberryhead.entry

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.serialization.json.Json
import org.bilberryhead.core.tables.TableChange
import org.bilberryhead.platform.ChangeOutcome
import org.bilberryhead.platform.TableLog

/** The interface for operators. */
class OperatorRoutes(private val control: ControlPlane, private val tableLog: TableLog, private val tokens: Tokens) {
    private val json = Json { encodeDefaults = true }

    /** Adds the routes. */
    fun install(route: Route) = with(route) {
        get("/v1/operator/tables") {
            if (operator() == null) return@get
            call.respondText(json.encodeToString(control.tables), ContentType.Application.Json)
        }
        post("/v1/operator/changes") {
            val author = operator() ?: return@post
            apply(json.decodeFromString<TableChange>(call.receiveText()).copy(author = author))
        }
    }

    private suspend fun RoutingContext.apply(change: TableChange) {
        when (val outcome = tableLog.commit(change)) {
            is ChangeOutcome.Committed -> {
                control.take(listOf(change))
                call.respondText("accepted as version ${outcome.version}\n")
            }
            is ChangeOutcome.LostRace ->
                call.respondText("another change came first: ${outcome.winner?.id}\n", status = HttpStatusCode.Conflict)
            is ChangeOutcome.NotCommitted ->
                call.respondText("not committed: ${outcome.detail}\n", status = HttpStatusCode.ServiceUnavailable)
            is ChangeOutcome.Unknown ->
                call.respondText("outcome unknown: ${outcome.detail}\n", status = HttpStatusCode.GatewayTimeout)
        }
    }

    private suspend fun RoutingContext.operator(): String? {
        val name = tokens.operator(call.request.headers[HttpHeaders.Authorization])
        if (name == null) call.respondText("an operator's token is needed\n", status = HttpStatusCode.Unauthorized)
        return name
    }
}
