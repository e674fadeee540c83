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

/** The effect of one call to an endpoint, as recorded by the stand-in. */
@Serializable
data class RecordedEffect(val request: String, val attempt: String, val stage: String, val endpoint: String)

/** Simulates all endpoints and records the effect of each call with its request ID. */
class EndpointStandin(private val settings: StandinSettings) {
    private val json = Json
    private val configuredEndpoints = settings.endpoints.associateBy { it.id }
    private val semaphores = ConcurrentHashMap<String, Semaphore>()
    private val faults = ConcurrentHashMap<String, FaultSwitch<EndpointFault>>()
    private val effects = ConcurrentLinkedQueue<RecordedEffect>()
    private val startedCalls = AtomicInteger()

    /** Adds the HTTP routes that serve calls to endpoints, set faults, and read or clear the recorded effects. */
    fun install(route: Route) = with(route) {
        post("/endpoints/{endpoint}/stages/{stage}") { serve() }
        post("/faults/endpoints/{endpoint}") {
            val fault = json.decodeFromString<EndpointFault>(call.receiveText())
            faultsOf(pathParameter("endpoint")).set(fault, fault.calls)
            call.respondText("set\n")
        }
        get("/effects") { call.respondText(json.encodeToString(effects.toList()), ContentType.Application.Json) }
        get("/effects/calls") { call.respondText(startedCalls.toString()) }
        delete("/effects") {
            effects.clear()
            startedCalls.set(0)
            call.respondText("cleared\n")
        }
    }

    private suspend fun RoutingContext.serve() {
        val endpoint = pathParameter("endpoint")
        val applied = faultsOf(endpoint).next()
        val input = call.receiveText()
        when (applied.fault.kind) {
            EndpointFaultKind.FAIL_BEFORE_EFFECT -> return respondFailed()
            EndpointFaultKind.REFUSE -> return respondNotRun()
            EndpointFaultKind.SILENT_BEFORE_EFFECT -> awaitCancellation()
            else -> Unit
        }
        val effect = newEffect(endpoint)
        startedCalls.incrementAndGet()
        semaphoreOf(endpoint).withPermit {
            delay(serviceTime(endpoint, applied))
            effects += effect
        }
        respond(applied.fault, responseBody(effect, input))
    }

    private suspend fun RoutingContext.respond(fault: EndpointFault, body: String) = when (fault.kind) {
        EndpointFaultKind.FAIL_AFTER_EFFECT -> respondFailed()
        EndpointFaultKind.SILENT -> awaitCancellation()
        EndpointFaultKind.CUT -> respondTruncated(body)
        EndpointFaultKind.LATE_ANSWER -> {
            delay(fault.delayMillis)
            call.respondText(body, ContentType.Application.Json)
        }
        else -> if (isStreamed()) respondStreamed(body) else call.respondText(body, ContentType.Application.Json)
    }

    private fun RoutingContext.newEffect(endpoint: String) = RecordedEffect(
        request = call.request.headers["X-Request-Id"].orEmpty(),
        attempt = call.request.headers["X-Attempt-Id"].orEmpty(),
        stage = pathParameter("stage"),
        endpoint = endpoint,
    )

    private fun RoutingContext.isStreamed() =
        call.request.headers["X-Streamed"] == "true" || pathParameter("stage") in settings.streamedStages

    private fun serviceTime(endpoint: String, applied: AppliedFault<EndpointFault>): Duration {
        val baseTime = settings.serviceTime / (configuredEndpoints[endpoint]?.speed ?: 1.0)
        val extraTime = applied.fault.delayMillis.milliseconds
        return when (applied.fault.kind) {
            EndpointFaultKind.STRAGGLE -> baseTime * applied.fault.factor
            EndpointFaultKind.BURST -> baseTime + extraTime
            EndpointFaultKind.REORDER -> if (applied.number % 2 == 0L) baseTime + extraTime else baseTime
            else -> baseTime
        }
    }

    private suspend fun RoutingContext.respondFailed() =
        call.respondText("failed\n", status = HttpStatusCode.InternalServerError)

    private suspend fun RoutingContext.respondNotRun() {
        call.response.header("X-Not-Run", "true")
        call.respondText("not run\n", status = HttpStatusCode.ServiceUnavailable)
    }

    private suspend fun RoutingContext.respondStreamed(body: String) =
        call.respondBytesWriter(ContentType.Application.Json) {
            for (part in splitIntoParts(body)) {
                writeStringUtf8(part)
                flush()
                delay(settings.partDelay)
            }
        }

    /** Sends a `Content-Length`, since the server may end a truncated chunked response as if it were complete. */
    private suspend fun RoutingContext.respondTruncated(body: String) =
        call.respondBytesWriter(ContentType.Application.Json, contentLength = body.length.toLong()) {
            writeStringUtf8(body.take(body.length / 2))
            flush()
            throw IOException("response truncated by an injected fault")
        }

    private fun splitIntoParts(body: String): List<String> {
        val partLength = (body.length + settings.parts - 1) / settings.parts
        return body.chunked(partLength.coerceAtLeast(1))
    }

    private fun responseBody(effect: RecordedEffect, input: String): String {
        val previous = json.parseToJsonElement(input.ifBlank { "{}" })
        val fields = (previous as? JsonObject).orEmpty()
        val merged = buildJsonObject {
            fields.forEach { (key, value) -> put(key, value) }
            put("request", JsonPrimitive(effect.request))
            put(effect.stage, JsonPrimitive("done by ${effect.endpoint}"))
        }
        return json.encodeToString(merged)
    }

    private fun semaphoreOf(endpoint: String) = semaphores.computeIfAbsent(endpoint) {
        Semaphore(configuredEndpoints[endpoint]?.concurrency ?: settings.concurrency)
    }

    private fun faultsOf(endpoint: String) =
        faults.computeIfAbsent(endpoint) { FaultSwitch(EndpointFault(EndpointFaultKind.NONE)) }
}

/** Returns the path parameter [parameter], or an empty string if the path has none. */
internal fun RoutingContext.pathParameter(parameter: String): String = call.parameters[parameter].orEmpty()
