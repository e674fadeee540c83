package org.bilberryhead.standin

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** One effect that an endpoint had, as the stand-in recorded it. */
@Serializable
data class RecordedEffect(val request: String, val attempt: String, val stage: String, val endpoint: String)

/** Plays every endpoint; each call's effect is recorded with its request id. */
class EndpointStandin(private val settings: StandinSettings) {
    private val json = Json
    private val configured = settings.endpoints.associateBy { it.id }
    private val limits = ConcurrentHashMap<String, Semaphore>()
    private val faults = ConcurrentHashMap<String, FaultSwitch<EndpointFault>>()
    private val effects = ConcurrentLinkedQueue<RecordedEffect>()
    private val begunCalls = AtomicInteger()

    /** Adds the routes of the endpoints, of their faults and of the recorded effects. */
    fun install(route: Route) = with(route) {
        post("/endpoints/{endpoint}/stages/{stage}") { serve() }
        post("/faults/endpoints/{endpoint}") {
            val fault = json.decodeFromString<EndpointFault>(call.receiveText())
            faultsOf(name("endpoint")).set(fault, fault.calls)
            call.respondText("set\n")
        }
        get("/effects") { call.respondText(json.encodeToString(effects.toList()), ContentType.Application.Json) }
        get("/effects/calls") { call.respondText(begunCalls.toString()) }
        delete("/effects") {
            effects.clear()
            begunCalls.set(0)
            call.respondText("cleared\n")
        }
    }

    private suspend fun RoutingContext.serve() {
        val endpoint = name("endpoint")
        val hit = faultsOf(endpoint).next()
        val input = call.receiveText()
        when (hit.fault.kind) {
            EndpointFaultKind.FAIL_BEFORE_EFFECT -> return fail()
            EndpointFaultKind.REFUSE -> return refuse()
            EndpointFaultKind.SILENT_BEFORE_EFFECT -> awaitCancellation()
            else -> Unit
        }
        val effect = effectOf(endpoint)
        begunCalls.incrementAndGet()
        limitOf(endpoint).withPermit {
            delay(serviceTime(endpoint, hit))
            effects += effect
        }
        respond(hit.fault, answer(effect, input))
    }

    private suspend fun RoutingContext.respond(fault: EndpointFault, answer: String) = when (fault.kind) {
        EndpointFaultKind.FAIL_AFTER_EFFECT -> fail()
        EndpointFaultKind.SILENT -> awaitCancellation()
        EndpointFaultKind.CUT -> cutOff(answer)
        EndpointFaultKind.LATE_ANSWER -> {
            delay(fault.delayMillis)
            call.respondText(answer, ContentType.Application.Json)
        }
        else -> if (isStreamed()) stream(answer) else call.respondText(answer, ContentType.Application.Json)
    }

    private fun RoutingContext.effectOf(endpoint: String) = RecordedEffect(
        request = call.request.headers["X-Request-Id"].orEmpty(),
        attempt = call.request.headers["X-Attempt-Id"].orEmpty(),
        stage = name("stage"),
        endpoint = endpoint,
    )

    private fun RoutingContext.isStreamed() =
        call.request.headers["X-Streamed"] == "true" || name("stage") in settings.streamedStages

    private fun serviceTime(endpoint: String, hit: FaultHit<EndpointFault>): Duration {
        val usual = settings.serviceTime / (configured[endpoint]?.speed ?: 1.0)
        val extra = hit.fault.delayMillis.milliseconds
        return when (hit.fault.kind) {
            EndpointFaultKind.STRAGGLE -> usual * hit.fault.factor
            EndpointFaultKind.BURST -> usual + extra
            EndpointFaultKind.REORDER -> if (hit.number % 2 == 0L) usual + extra else usual
            else -> usual
        }
    }

    private suspend fun RoutingContext.fail() =
        call.respondText("failed\n", status = HttpStatusCode.InternalServerError)

    private suspend fun RoutingContext.refuse() {
        call.response.header("X-Not-Run", "true")
        call.respondText("not run\n", status = HttpStatusCode.ServiceUnavailable)
    }

    private suspend fun RoutingContext.stream(answer: String) = call.respondBytesWriter(ContentType.Application.Json) {
        for (part in partsOf(answer)) {
            writeStringUtf8(part)
            flush()
            delay(settings.partDelay)
        }
    }

    /** The length is announced, since the server may end a chunked answer as if it were whole. */
    private suspend fun RoutingContext.cutOff(answer: String) =
        call.respondBytesWriter(ContentType.Application.Json, contentLength = answer.length.toLong()) {
            writeStringUtf8(answer.take(answer.length / 2))
            flush()
            throw IOException("cut off on purpose")
        }

    private fun partsOf(answer: String): List<String> {
        val partLength = (answer.length + settings.parts - 1) / settings.parts
        return answer.chunked(partLength.coerceAtLeast(1))
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

    private fun limitOf(endpoint: String) = limits.computeIfAbsent(endpoint) {
        Semaphore(configured[endpoint]?.concurrency ?: settings.concurrency)
    }

    private fun faultsOf(endpoint: String) =
        faults.computeIfAbsent(endpoint) { FaultSwitch(EndpointFault(EndpointFaultKind.NONE)) }
}

internal fun RoutingContext.name(parameter: String): String = call.parameters[parameter].orEmpty()
