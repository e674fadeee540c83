package org.bilberryhead.load.run

import io.ktor.client.HttpClient
import io.ktor.client.engine.okhttp.OkHttp
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import java.io.IOException
import java.util.UUID
import java.util.concurrent.TimeUnit

/** Sends the requests of a plan over HTTP and classifies their results. */
class LoadCaller(private val tokens: Map<String, String>) : AutoCloseable {
    private val client = HttpClient(OkHttp) {
        expectSuccess = false
        install(HttpTimeout) { requestTimeoutMillis = TIMEOUT_MILLIS }
        engine {
            config {
                retryOnConnectionFailure(false)
                connectionPool(ConnectionPool(MAXIMUM_CALLS, 1, TimeUnit.MINUTES))
                dispatcher(
                    Dispatcher().apply {
                        maxRequests = MAXIMUM_CALLS
                        maxRequestsPerHost = MAXIMUM_CALLS
                    },
                )
            }
        }
    }

    /** Sends the request of [arrival]; the result is never [CallerResult.LATE], which depends on the deadline. */
    suspend fun send(arrival: Arrival): CallerResult = try {
        val key = keyFor(arrival)
        val response = client.post(arrival.target + arrival.kind.path) {
            addHeaders(arrival)
            if (key != null) header(KEY_HEADER, key)
            setBody(arrival.kind.body)
        }
        resultOf(response)
    } catch (_: IOException) {
        CallerResult.BROKEN
    }

    override fun close() = client.close()

    private suspend fun keyFor(arrival: Arrival): String? = when (arrival.kind.key) {
        KeyUse.NONE -> null
        KeyUse.OWN -> UUID.randomUUID().toString()
        KeyUse.TICKET -> {
            val response = client.post("${arrival.target}/v1/tickets/${arrival.kind.kind}") { addHeaders(arrival) }
            textField(response.bodyAsText(), "ticket")
        }
    }

    private fun HttpRequestBuilder.addHeaders(arrival: Arrival) {
        bearerAuth(tokens.getValue(arrival.account.name))
        contentType(ContentType.Application.Json)
        header("Accept", ContentType.Application.Json.toString())
    }

    private suspend fun resultOf(response: HttpResponse): CallerResult {
        val body = response.bodyAsText()
        if (response.status.isSuccess()) return CallerResult.ANSWERED
        if (response.status.value in REJECTED_STATUSES) return CallerResult.REJECTED
        return if (textField(body, "outcome") == "not_run") CallerResult.NOT_RUN else CallerResult.UNKNOWN
    }

    private fun textField(json: String, name: String): String? =
        if (json.startsWith("{")) Json.parseToJsonElement(json).jsonObject[name]?.jsonPrimitive?.content else null

    private companion object {
        const val KEY_HEADER = "Idempotency-Key"
        const val TIMEOUT_MILLIS = 60_000L
        const val MAXIMUM_CALLS = 4_096

        /** Statuses of invalid requests; 429 is a refusal of a valid one. */
        val REJECTED_STATUSES = (400..428) + (430..499)
    }
}
