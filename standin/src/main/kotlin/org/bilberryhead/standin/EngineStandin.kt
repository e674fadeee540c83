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

/** One order that an engine received, as recorded by the stand-in. */
@Serializable
data class RecordedOrder(val endpoint: String, val fencingNumber: Long, val order: String, val accepted: Boolean)

/**
 * Simulates engines that process orders: keeps the models and adapters that each has loaded and applies accepted
 * orders to them. Some engines reject an order with an old fencing number; others ignore the number.
 */
class EngineStandin(endpoints: List<StandinEndpoint>) {
    private val json = Json
    private val checkingEndpoints = endpoints.filter { it.checksFencing }.map { it.id }.toSet()
    private val highestNumbers = HashMap<String, Long>()
    private val engineStates = HashMap<String, EngineState>()
    private val faults = ConcurrentHashMap<String, FaultSwitch<EngineFault>>()
    private val heldCounts = ConcurrentHashMap<String, MutableStateFlow<Int>>()
    private val orders = ConcurrentLinkedQueue<RecordedOrder>()

    /** Adds the HTTP routes of orders, engine faults, held orders and the record of orders. */
    fun install(route: Route) = with(route) {
        post("/endpoints/{endpoint}/orders") { handleOrder() }
        get("/endpoints/{endpoint}/engine") {
            call.respondText(json.encodeToString(stateOf(pathParameter("endpoint"))), ContentType.Application.Json)
        }
        post("/faults/engines/{endpoint}") {
            val fault = json.decodeFromString<EngineFault>(call.receiveText())
            faultsOf(pathParameter("endpoint")).set(fault, fault.calls)
            call.respondText("set\n")
        }
        get("/engines/{endpoint}/held") { call.respondText(heldCountOf(pathParameter("endpoint")).value.toString()) }
        delete("/engines/{endpoint}/held") {
            heldCountOf(pathParameter("endpoint")).value = 0
            call.respondText("released\n")
        }
        get("/orders") { call.respondText(json.encodeToString(orders.toList()), ContentType.Application.Json) }
        delete("/orders") {
            orders.clear()
            call.respondText("cleared\n")
        }
    }

    private suspend fun RoutingContext.handleOrder() {
        val number = call.request.headers[FENCING_NUMBER_HEADER]?.toLongOrNull()
            ?: return call.respondText("no fencing number\n", status = HttpStatusCode.BadRequest)
        val text = call.receiveText()
        val endpoint = pathParameter("endpoint")
        val fault = faultsOf(endpoint).next().fault.kind
        if (fault == EngineFaultKind.FAIL_BEFORE_EFFECT) return respondFailed()
        if (fault == EngineFaultKind.HOLD) awaitRelease(endpoint)
        val order = processOrder(endpoint, number, text)
        if (fault == EngineFaultKind.FAIL_AFTER_EFFECT) return respondFailed()
        val status = if (order.accepted) HttpStatusCode.OK else HttpStatusCode.Conflict
        call.respondText(json.encodeToString(order), ContentType.Application.Json, status)
    }

    /** Records an order for [endpoint], applies it if its fencing number is accepted, and returns the record. */
    @Synchronized
    fun processOrder(endpoint: String, number: Long, order: String): RecordedOrder {
        val highestNumber = highestNumbers[endpoint] ?: 0
        val accepted = endpoint !in checkingEndpoints || number >= highestNumber
        highestNumbers[endpoint] = maxOf(highestNumber, number)
        if (accepted) parseOrder(order)?.let { engineStates[endpoint] = stateOf(endpoint).after(it) }
        return RecordedOrder(endpoint, number, order, accepted).also { orders += it }
    }

    /** Returns what the engine of [endpoint] has loaded; an engine without accepted orders has loaded nothing. */
    @Synchronized
    fun stateOf(endpoint: String): EngineState = engineStates[endpoint] ?: EngineState()

    private fun parseOrder(order: String): Order? = try {
        json.decodeFromString<Order>(order)
    } catch (_: SerializationException) {
        null
    }

    private suspend fun awaitRelease(endpoint: String) {
        val count = heldCountOf(endpoint)
        count.value++
        count.first { it == 0 }
    }

    private suspend fun RoutingContext.respondFailed() =
        call.respondText("failed\n", status = HttpStatusCode.InternalServerError)

    private fun heldCountOf(endpoint: String) = heldCounts.computeIfAbsent(endpoint) { MutableStateFlow(0) }

    private fun faultsOf(endpoint: String) =
        faults.computeIfAbsent(endpoint) { FaultSwitch(EngineFault(EngineFaultKind.NONE)) }
}
