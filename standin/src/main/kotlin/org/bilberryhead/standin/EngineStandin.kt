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
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.bilberryhead.core.order.EngineState
import org.bilberryhead.core.order.Order
import org.bilberryhead.core.order.after
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue

/** Name of the header with the fencing number of an order. */
const val FENCING_NUMBER_HEADER = "X-Fencing-Number"

/** One order that an engine was given, as the stand-in recorded it. */
@Serializable
data class RecordedOrder(val endpoint: String, val fencingNumber: Long, val order: String, val accepted: Boolean)

/**
 * Plays the engines' side of orders: what each has loaded, and what an order changes of it. Some endpoints refuse an
 * old fencing number; others ignore it.
 */
class EngineStandin(endpoints: List<StandinEndpoint>) {
    private val json = Json
    private val checking = endpoints.filter { it.checksFencing }.map { it.id }.toSet()
    private val highest = HashMap<String, Long>()
    private val loaded = HashMap<String, EngineState>()
    private val faults = ConcurrentHashMap<String, FaultSwitch<EngineFault>>()
    private val held = ConcurrentHashMap<String, MutableStateFlow<Int>>()
    private val orders = ConcurrentLinkedQueue<RecordedOrder>()

    /** Adds the routes of the orders, of their faults and of their record. */
    fun install(route: Route) = with(route) {
        post("/endpoints/{endpoint}/orders") { take() }
        get("/endpoints/{endpoint}/engine") {
            call.respondText(json.encodeToString(loaded(name("endpoint"))), ContentType.Application.Json)
        }
        post("/faults/engines/{endpoint}") {
            val fault = json.decodeFromString<EngineFault>(call.receiveText())
            faultsOf(name("endpoint")).set(fault, fault.calls)
            call.respondText("set\n")
        }
        get("/engines/{endpoint}/held") { call.respondText(heldOf(name("endpoint")).value.toString()) }
        delete("/engines/{endpoint}/held") {
            heldOf(name("endpoint")).value = 0
            call.respondText("released\n")
        }
        get("/orders") { call.respondText(json.encodeToString(orders.toList()), ContentType.Application.Json) }
        delete("/orders") {
            orders.clear()
            call.respondText("cleared\n")
        }
    }

    private suspend fun RoutingContext.take() {
        val number = call.request.headers[FENCING_NUMBER_HEADER]?.toLongOrNull()
            ?: return call.respondText("no fencing number\n", status = HttpStatusCode.BadRequest)
        val text = call.receiveText()
        val endpoint = name("endpoint")
        val fault = faultsOf(endpoint).next().fault.kind
        if (fault == EngineFaultKind.FAIL_BEFORE_EFFECT) return fail()
        if (fault == EngineFaultKind.HOLD) hold(endpoint)
        val order = record(endpoint, number, text)
        if (fault == EngineFaultKind.FAIL_AFTER_EFFECT) return fail()
        val status = if (order.accepted) HttpStatusCode.OK else HttpStatusCode.Conflict
        call.respondText(json.encodeToString(order), ContentType.Application.Json, status)
    }

    /** Records an order for [endpoint], carries it out if it is accepted, and returns it as recorded. */
    @Synchronized
    fun record(endpoint: String, number: Long, order: String): RecordedOrder {
        val known = highest[endpoint] ?: 0
        val accepted = endpoint !in checking || number >= known
        highest[endpoint] = maxOf(known, number)
        if (accepted) read(order)?.let { loaded[endpoint] = loaded(endpoint).after(it) }
        return RecordedOrder(endpoint, number, order, accepted).also { orders += it }
    }

    /** Returns what the engine of [endpoint] has loaded. */
    @Synchronized
    fun loaded(endpoint: String): EngineState = loaded[endpoint] ?: EngineState()

    private fun read(order: String): Order? = try {
        json.decodeFromString<Order>(order)
    } catch (_: SerializationException) {
        null
    }

    private suspend fun hold(endpoint: String) {
        val count = heldOf(endpoint)
        count.value++
        count.first { it == 0 }
    }

    private suspend fun RoutingContext.fail() =
        call.respondText("failed\n", status = HttpStatusCode.InternalServerError)

    private fun heldOf(endpoint: String) = held.computeIfAbsent(endpoint) { MutableStateFlow(0) }

    private fun faultsOf(endpoint: String) =
        faults.computeIfAbsent(endpoint) { FaultSwitch(EngineFault(EngineFaultKind.NONE)) }
}
