package org.bilberryhead.standin

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.time.Duration

/** One effect that an endpoint had, as the stand-in recorded it. */
@Serializable
data class RecordedEffect(val request: String, val attempt: String, val stage: String, val endpoint: String)

/** Plays every endpoint; each call's effect is recorded with its request id. */
class EndpointStandin(private val serviceTime: Duration, endpoints: List<StandinEndpoint>) {
    private val json = Json
    private val speeds = endpoints.associate { it.id to it.speed }
    private val faults = ConcurrentHashMap<String, FaultSwitch<EndpointFault>>()
    private val effects = ConcurrentLinkedQueue<RecordedEffect>()

    /** Adds the routes of the endpoints, of their faults and of the recorded effects. */
    fun install(route: Route) = with(route) {
        post("/endpoints/{endpoint}/stages/{stage}") { serve() }
        post("/faults/endpoints/{endpoint}") {
            val fault = json.decodeFromString<EndpointFault>(call.receiveText())
            faultsOf(name("endpoint")).set(fault, fault.calls)
            call.respondText("set\n")
        }
        get("/effects") { call.respondText(json.encodeToString(effects.toList()), ContentType.Application.Json) }
    }

    private suspend fun RoutingContext.serve() {
        val endpoint = name("endpoint")
        val fault = faultsOf(endpoint).next()
        val input = call.receiveText()
        if (fault.kind == EndpointFaultKind.FAIL_BEFORE_EFFECT) return fail()
        if (fault.kind == EndpointFaultKind.REFUSE) return refuse()
        val factor = if (fault.kind == EndpointFaultKind.STRAGGLE) fault.factor else 1.0
        delay(serviceTime * factor / (speeds[endpoint] ?: 1.0))
        val effect = RecordedEffect(
            request = call.request.headers["X-Request-Id"].orEmpty(),
            attempt = call.request.headers["X-Attempt-Id"].orEmpty(),
            stage = name("stage"),
            endpoint = endpoint,
        )
        effects += effect
        val answer = answer(effect, input)
        when (fault.kind) {
            EndpointFaultKind.FAIL_AFTER_EFFECT -> fail()
            EndpointFaultKind.SILENT -> awaitCancellation()
            EndpointFaultKind.CUT -> cutOff(answer)
            else -> call.respondText(answer, ContentType.Application.Json)
        }
    }

    private suspend fun RoutingContext.fail() =
        call.respondText("failed\n", status = HttpStatusCode.InternalServerError)

    private suspend fun RoutingContext.refuse() {
        call.response.header("X-Not-Run", "true")
        call.respondText("not run\n", status = HttpStatusCode.ServiceUnavailable)
    }

    private suspend fun RoutingContext.cutOff(answer: String) =
        call.respondBytesWriter(ContentType.Application.Json, contentLength = answer.length.toLong()) {
            writeStringUtf8(answer.take(answer.length / 2))
            flush()
            throw IOException("cut off on purpose")
        }

    private fun answer(effect: RecordedEffect, input: String): String {
        val previous = json.parseToJsonElement(input.ifBlank { "{}" })
        val fields = (previous as? JsonObject).orEmpty()
        val answered = buildJsonObject {
            fields.forEach { (key, value) -> put(key, value) }
            put("request", JsonPrimitive(effect.request))
            put(effect.stage, JsonPrimitive("done by ${effect.endpoint}"))
        }
        return json.encodeToString(answered)
    }

    private fun faultsOf(endpoint: String) =
        faults.computeIfAbsent(endpoint) { FaultSwitch(EndpointFault(EndpointFaultKind.NONE)) }
}

private fun RoutingContext.name(parameter: String): String = call.parameters[parameter].orEmpty()
