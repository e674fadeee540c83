package org.bilberryhead.sidecar

import io.ktor.client.HttpClient
import io.ktor.client.engine.okhttp.OkHttp
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.timeout
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsBytes
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import io.ktor.utils.io.readAvailable
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.gate.GateEvent
import org.bilberryhead.core.message.Dispatch
import java.io.IOException
import java.net.ConnectException

/** Name of the header that tells the endpoint the request's id. */
const val REQUEST_ID_HEADER = "X-Request-Id"

/** Name of the header with which an endpoint states that it did not begin the call. */
const val NOT_RUN_HEADER = "X-Not-Run"

/** Calls the endpoint over HTTP, once for each attempt that it is given. */
class EndpointCaller(private val baseUrl: String) : AutoCloseable {
    private val client = HttpClient(OkHttp) {
        expectSuccess = false
        install(HttpTimeout)
        engine { config { retryOnConnectionFailure(false) } }
    }

    /** Makes the call and reports each part of the answer, and its end, through [report]. */
    suspend fun call(dispatch: Dispatch, report: suspend (GateEvent) -> Unit) {
        val attempt = dispatch.attempt
        try {
            prepare(dispatch).execute { response -> read(dispatch, response, report) }
        } catch (failure: ConnectException) {
            report(GateEvent.EndpointDidNotRun(attempt, "no connection: ${failure.message}"))
        } catch (failure: IOException) {
            report(GateEvent.EndpointFailed(attempt, "call failed: ${failure.message}"))
        }
    }

    override fun close() = client.close()

    private suspend fun prepare(dispatch: Dispatch) = client.preparePost("$baseUrl/stages/${dispatch.stage.value}") {
        header(REQUEST_ID_HEADER, dispatch.request.value)
        header("X-Attempt-Id", dispatch.attempt.value)
        header("X-Request-Kind", dispatch.kind.value)
        contentType(ContentType.Application.Json)
        timeout { requestTimeoutMillis = dispatch.remainingMillis + ANSWER_GRACE_MILLIS }
        setBody(dispatch.payload.bytes)
    }

    private suspend fun read(dispatch: Dispatch, response: HttpResponse, report: suspend (GateEvent) -> Unit) {
        val attempt = dispatch.attempt
        when {
            response.status.isSuccess() && dispatch.streamed -> readParts(dispatch, response, report)
            response.status.isSuccess() ->
                report(GateEvent.EndpointAnswered(attempt, Payload(response.bodyAsBytes()), last = true))
            response.headers[NOT_RUN_HEADER] == "true" ->
                report(GateEvent.EndpointDidNotRun(attempt, "endpoint answered ${response.status.value}, not run"))
            else -> report(GateEvent.EndpointFailed(attempt, "endpoint answered ${response.status.value}"))
        }
    }

    private suspend fun readParts(dispatch: Dispatch, response: HttpResponse, report: suspend (GateEvent) -> Unit) {
        val body = response.bodyAsChannel()
        val buffer = ByteArray(PART_BYTES)
        while (true) {
            val count = body.readAvailable(buffer)
            if (count < 0) break
            report(GateEvent.EndpointAnswered(dispatch.attempt, Payload(buffer.copyOf(count)), last = false))
        }
        body.closedCause?.let { throw IOException("answer is cut off", it) }
        report(GateEvent.EndpointAnswered(dispatch.attempt, Payload.EMPTY, last = true))
    }

    private companion object {
        /** Largest part of a streamed answer, in bytes. */
        const val PART_BYTES = 16 * 1024

        /** Time after the deadline for which an answer is still awaited, so that the ledger learns the outcome. */
        const val ANSWER_GRACE_MILLIS = 10_000L
    }
}
