package org.bilberryhead.system

import io.ktor.client.HttpClient
import io.ktor.client.engine.okhttp.OkHttp
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpMethod
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.io.IOException
import java.util.concurrent.TimeUnit

/** The response to a caller; [status] is null when the connection broke before the complete response. */
internal data class CallerResponse(val requestId: String?, val status: Int?, val body: String) {
    /** Whether the caller received the answer to its request. */
    val isAnswered: Boolean get() = status == 200

    /** The outcome of the request that a refusal states, such as `not_run`; null for other responses. */
    val outcome: String?
        get() = if (status == null || isAnswered || !body.startsWith("{")) {
            null
        } else {
            Json.parseToJsonElement(body).jsonObject["outcome"]?.jsonPrimitive?.content
        }
}

/** HTTP calls to the processes of the system. */
internal class HttpCalls : AutoCloseable {
    private val client = HttpClient(OkHttp) {
        expectSuccess = false
        install(HttpTimeout) {
            connectTimeoutMillis = TIMEOUT_MILLIS
            requestTimeoutMillis = TIMEOUT_MILLIS
            socketTimeoutMillis = TIMEOUT_MILLIS
        }
        engine {
            config {
                retryOnConnectionFailure(false)
                readTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                dispatcher(okhttp3.Dispatcher().apply { maxRequestsPerHost = MAXIMUM_CALLS })
            }
        }
    }

    /** Makes a call; a broken connection gives a response without a status. */
    suspend fun call(
        method: HttpMethod,
        url: String,
        body: String = "",
        headers: Map<String, String> = emptyMap(),
    ): CallerResponse = try {
        val response = client.request(url) {
            this.method = method
            headers.forEach { (name, value) -> header(name, value) }
            setBodyUnlessGet(method, body)
        }
        CallerResponse(response.headers["X-Request-Id"], response.status.value, response.bodyAsText())
    } catch (failure: IOException) {
        CallerResponse(requestId = null, status = null, body = failure.message.orEmpty())
    }

    override fun close() = client.close()

    private fun HttpRequestBuilder.setBodyUnlessGet(method: HttpMethod, body: String) {
        if (method != HttpMethod.Get) setBody(body)
    }

    private companion object {
        const val TIMEOUT_MILLIS = 60_000L
        const val MAXIMUM_CALLS = 64
    }
}
