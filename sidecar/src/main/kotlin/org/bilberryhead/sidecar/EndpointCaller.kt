package org.bilberryhead.sidecar

import io.ktor.client.plugins.timeout
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.contentLength
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import io.ktor.utils.io.readAvailable
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.gate.GateEvent
import org.bilberryhead.core.message.Dispatch
import java.io.ByteArrayOutputStream
import java.io.IOException

/** Name of the header with the id of the request. */
const val REQUEST_ID_HEADER = "X-Request-Id"

/** Name of the header with the id of the attempt, which the endpoint receives at most once. */
const val ATTEMPT_ID_HEADER = "X-Attempt-Id"

/** Name of the header with the kind of the request. */
const val REQUEST_KIND_HEADER = "X-Request-Kind"

/** Name of the header with which an endpoint reports that it did not start the call. */
const val NOT_RUN_HEADER = "X-Not-Run"

/**
 * Calls the endpoint over HTTP. Sends exactly one HTTP request for each attempt and never repeats it.
 *
 * @param maximumResponseBytes maximum size of a response; a larger one counts as a failure of the endpoint
 */
class EndpointCaller(
    private val baseUrl: String,
    private val maximumResponseBytes: Int = DEFAULT_MAXIMUM_RESPONSE_BYTES,
) : AutoCloseable {
    private val client = EndpointHttp.client()

    /** Calls the endpoint and reports each part of the response, and the end of the call, through [report]. */
    @Suppress("TooGenericExceptionCaught") // an attempt that never ends would occupy its slot forever
    suspend fun call(dispatch: Dispatch, report: suspend (GateEvent) -> Unit) {
        try {
            prepare(dispatch).execute { response -> readResponse(dispatch, response, report) }
        } catch (failure: CancellationException) {
            currentCoroutineContext().ensureActive()
            report(failed(dispatch, failure))
        } catch (failure: Exception) {
            report(if (EndpointHttp.isConnectFailure(failure)) notRun(dispatch, failure) else failed(dispatch, failure))
        }
    }

    override fun close() = client.close()

    private suspend fun prepare(dispatch: Dispatch) = client.preparePost("$baseUrl/stages/${dispatch.stage.value}") {
        header(REQUEST_ID_HEADER, dispatch.request.value)
        header(ATTEMPT_ID_HEADER, dispatch.attempt.value)
        header(REQUEST_KIND_HEADER, dispatch.kind.value)
        contentType(ContentType.Application.Json)
        timeout { requestTimeoutMillis = dispatch.remainingMillis + RESPONSE_GRACE_MILLIS }
        setBody(dispatch.payload.bytes)
    }

    private suspend fun readResponse(dispatch: Dispatch, response: HttpResponse, report: suspend (GateEvent) -> Unit) {
        val attempt = dispatch.attempt
        when {
            response.status.isSuccess() && dispatch.streamed -> readStreamed(dispatch, response, report)
            response.status.isSuccess() -> readComplete(dispatch, response, report)
            response.headers[NOT_RUN_HEADER] == "true" ->
                report(GateEvent.EndpointDidNotRun(attempt, "endpoint answered ${response.status.value}, not run"))
            else -> report(GateEvent.EndpointFailed(attempt, "endpoint answered ${response.status.value}"))
        }
    }

    private suspend fun readComplete(dispatch: Dispatch, response: HttpResponse, report: suspend (GateEvent) -> Unit) {
        val collected = ByteArrayOutputStream()
        readChunks(response) { collected.write(it) }
        val bytes = collected.toByteArray()
        val starts = if (bytes.isEmpty()) listOf(0) else bytes.indices step FRAME_BYTES
        for (start in starts) {
            val end = minOf(start + FRAME_BYTES, bytes.size)
            val payload = Payload(bytes.copyOfRange(start, end))
            report(GateEvent.EndpointResponded(dispatch.attempt, payload, last = end == bytes.size))
        }
    }

    private suspend fun readStreamed(dispatch: Dispatch, response: HttpResponse, report: suspend (GateEvent) -> Unit) {
        readChunks(response) { chunk ->
            report(GateEvent.EndpointResponded(dispatch.attempt, Payload(chunk), last = false))
        }
        report(GateEvent.EndpointResponded(dispatch.attempt, Payload.EMPTY, last = true))
    }

    private suspend fun readChunks(response: HttpResponse, handleChunk: suspend (ByteArray) -> Unit) {
        val body = response.bodyAsChannel()
        val buffer = ByteArray(CHUNK_BYTES)
        var total = 0L
        while (true) {
            val count = body.readAvailable(buffer)
            if (count < 0) break
            total += count
            if (total > maximumResponseBytes) throw IOException("answer is longer than $maximumResponseBytes bytes")
            handleChunk(buffer.copyOf(count))
        }
        body.closedCause?.let { throw IOException("answer is cut off", it) }
        val announced = response.contentLength() ?: total
        if (total != announced) throw IOException("answer is cut off at $total of $announced bytes")
    }

    private fun notRun(dispatch: Dispatch, failure: Exception) =
        GateEvent.EndpointDidNotRun(dispatch.attempt, "no connection: ${failure.message}")

    private fun failed(dispatch: Dispatch, failure: Exception) =
        GateEvent.EndpointFailed(dispatch.attempt, "call failed: ${failure.message}")

    companion object {
        /** Default maximum size of a response, in bytes. */
        const val DEFAULT_MAXIMUM_RESPONSE_BYTES = 8 * 1024 * 1024

        /** Size of the read buffer, and so the maximum size of a frame of a streamed response, in bytes. */
        private const val CHUNK_BYTES = 16 * 1024

        /** Maximum size of a frame of a response that is not streamed, in bytes. */
        private const val FRAME_BYTES = 1024 * 1024

        /** Time after the deadline for which a response is still awaited, so that the ledger records the outcome. */
        private const val RESPONSE_GRACE_MILLIS = 10_000L
    }
}
