package org.bilberryhead.standin

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.util.concurrent.ConcurrentLinkedQueue

/** Name of the header with the fencing number of an order. */
const val FENCING_NUMBER_HEADER = "X-Fencing-Number"

/** One order that an engine was given, as the stand-in recorded it. */
@Serializable
data class RecordedOrder(val endpoint: String, val fencingNumber: Long, val order: String, val accepted: Boolean)

/** Plays the engines' side of orders. Some endpoints refuse an old fencing number; others ignore it. */
class EngineStandin(endpoints: List<StandinEndpoint>) {
    private val json = Json
    private val checking = endpoints.filter { it.checksFencing }.map { it.id }.toSet()
    private val highest = HashMap<String, Long>()
    private val orders = ConcurrentLinkedQueue<RecordedOrder>()

    /** Adds the routes of the orders and of their record. */
    fun install(route: Route) = with(route) {
        post("/endpoints/{endpoint}/orders") { take() }
        get("/orders") { call.respondText(json.encodeToString(orders.toList()), ContentType.Application.Json) }
        delete("/orders") {
            orders.clear()
            call.respondText("cleared\n")
        }
    }

    private suspend fun RoutingContext.take() {
        val number = call.request.headers[FENCING_NUMBER_HEADER]?.toLongOrNull()
            ?: return call.respondText("no fencing number\n", status = HttpStatusCode.BadRequest)
        val order = record(name("endpoint"), number, call.receiveText())
        val status = if (order.accepted) HttpStatusCode.OK else HttpStatusCode.Conflict
        call.respondText(json.encodeToString(order), ContentType.Application.Json, status)
    }

    /** Records an order for [endpoint] and returns it as recorded. */
    @Synchronized
    fun record(endpoint: String, number: Long, order: String): RecordedOrder {
        val known = highest[endpoint] ?: 0
        val accepted = endpoint !in checking || number >= known
        highest[endpoint] = maxOf(known, number)
        return RecordedOrder(endpoint, number, order, accepted).also { orders += it }
    }
}
