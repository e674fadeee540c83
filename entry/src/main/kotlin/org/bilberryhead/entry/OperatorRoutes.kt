package org.bilberryhead.entry

import com.github.michaelbull.result.getOrElse
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.bilberryhead.core.common.ChangeId
import org.bilberryhead.core.common.RequestKind
import org.bilberryhead.core.tables.TableChange
import org.bilberryhead.operator.ChangeResponse
import org.bilberryhead.operator.OperatorPaths
import org.bilberryhead.platform.ChangeRecord
import org.bilberryhead.platform.TableLog

/** HTTP routes for operators, as documented in [OperatorPaths]. */
class OperatorRoutes(
    private val control: ControlPlane,
    private val tableLog: TableLog,
    private val tokens: Tokens,
    activity: EntryActivity = EntryActivity.None,
) {
    private val proposals = ChangeProposals(control, tableLog)
    private val view = OperatorView(control, activity)
    private val json = Json { encodeDefaults = true }

    /** Adds the routes. */
    fun install(route: Route) = with(route) {
        get(OperatorPaths.TABLES) { asOperator { respond(json.encodeToString(control.tables)) } }
        get(OperatorPaths.HISTORY) { asOperator { history() } }
        get(OperatorPaths.STATUS) { asOperator { respond(json.encodeToString(view.status())) } }
        get(OperatorPaths.EXPLAIN) { asOperator { explain() } }
        get(OperatorPaths.CHANGE) { asOperator { find(ChangeId(call.parameters["id"].orEmpty())) } }
        post(OperatorPaths.CHANGES) { asOperator { author -> propose(author) } }
    }

    private suspend fun RoutingContext.history() {
        val limit = call.request.queryParameters["limit"]?.toIntOrNull() ?: DEFAULT_HISTORY_LIMIT
        if (limit !in 1..MAXIMUM_HISTORY_LIMIT) {
            return reject("limit must be from 1 to $MAXIMUM_HISTORY_LIMIT", HttpStatusCode.BadRequest)
        }
        val changes = tableLog.newest(limit).getOrElse {
            return reject("table service: ${it.detail}", HttpStatusCode.ServiceUnavailable)
        }
        respond(json.encodeToString(changes))
    }

    private suspend fun RoutingContext.explain() {
        val kind = RequestKind(call.parameters["kind"].orEmpty())
        val explanation = view.explain(kind)
            ?: return reject("no route answers requests of kind '$kind'", HttpStatusCode.NotFound)
        respond(json.encodeToString(explanation))
    }

    private suspend fun RoutingContext.find(id: ChangeId) {
        val record = tableLog.find(id).getOrElse {
            return respond(ChangeResponse.Unknown("table service: ${it.detail}"))
        }
        respond(
            when (record) {
                is ChangeRecord.InLog -> ChangeResponse.Accepted(record.version, control.holders(record.version))
                ChangeRecord.Sealed -> ChangeResponse.NotCommitted("the change was given up after its answer was lost")
                ChangeRecord.Absent -> ChangeResponse.Unknown("no change with this id is in the log so far")
            },
        )
    }

    private suspend fun RoutingContext.propose(author: String) {
        val change = try {
            json.decodeFromString<TableChange>(call.receiveText()).copy(author = author)
        } catch (failure: SerializationException) {
            return reject("not a change of the tables: ${failure.message}", HttpStatusCode.BadRequest)
        }
        val isFirst = call.request.queryParameters[OperatorPaths.FIRST] == "true"
        respond(proposals.propose(change, isFirst))
    }

    private suspend fun RoutingContext.respond(response: ChangeResponse) {
        val status = when (response) {
            is ChangeResponse.Accepted -> HttpStatusCode.OK
            is ChangeResponse.LostRace -> HttpStatusCode.Conflict
            is ChangeResponse.Invalid -> HttpStatusCode.UnprocessableEntity
            is ChangeResponse.NotCommitted -> HttpStatusCode.ServiceUnavailable
            is ChangeResponse.Unknown -> HttpStatusCode.GatewayTimeout
        }
        call.respondText(json.encodeToString(response), ContentType.Application.Json, status)
    }

    private suspend fun RoutingContext.respond(text: String) = call.respondText(text, ContentType.Application.Json)

    private suspend fun RoutingContext.reject(text: String, status: HttpStatusCode) =
        call.respondText("$text\n", status = status)

    private suspend fun RoutingContext.asOperator(handler: suspend (String) -> Unit) {
        val name = tokens.operator(call.request.headers[HttpHeaders.Authorization])
        if (name == null) reject("an operator's token is needed", HttpStatusCode.Unauthorized) else handler(name)
    }

    private companion object {
        /** Number of changes in the history when the operator gives no limit. */
        const val DEFAULT_HISTORY_LIMIT = 20

        /** Maximum number of changes in one response. */
        const val MAXIMUM_HISTORY_LIMIT = 1_000
    }
}
