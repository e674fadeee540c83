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

/** Name of the header that tells the endpoint the request's id. */
const val REQUEST_ID_HEADER = "X-Request-Id"

/** Name of the header that tells the endpoint the attempt's id, which it never sees twice. */
const val ATTEMPT_ID_HEADER = "X-Attempt-Id"

/** Name of the header that tells the endpoint the kind of the request. */
const val REQUEST_KIND_HEADER = "X-Request-Kind"

/** Name of the header with which an endpoint states that it did not begin the call. */
const val NOT_RUN_HEADER = "X-Not-Run"

/**
 * Calls the endpoint over HTTP, with one HTTP request for each attempt that it is given and never a second one.
 *
 * @param maximumAnswerBytes a longer answer counts as a failure of the endpoint
 */
class EndpointCaller(private val baseUrl: String, private val maximumAnswerBytes: Int = DEFAULT_ANSWER_BYTES) :
    AutoCloseable {
    private val client = EndpointHttp.client()

    /** Makes the call and reports each part of the answer, and its end, through [report]. */
    @Suppress("TooGenericExceptionCaught") // an attempt without an end would hold its place for ever
    suspend fun call(dispatch: Dispatch, report: suspend (GateEvent) -> Unit) {
        try {
            prepare(dispatch).execute { response -> read(dispatch, response, report) }
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
        timeout { requestTimeoutMillis = dispatch.remainingMillis + ANSWER_GRACE_MILLIS }
        setBody(dispatch.payload.bytes)
    }

    private suspend fun read(dispatch: Dispatch, response: HttpResponse, report: suspend (GateEvent) -> Unit) {
        val attempt = dispatch.attempt
        when {
            response.status.isSuccess() && dispatch.streamed -> readParts(dispatch, response, report)
            response.status.isSuccess() -> readWhole(dispatch, response, report)
            response.headers[NOT_RUN_HEADER] == "true" ->
                report(GateEvent.EndpointDidNotRun(attempt, "endpoint answered ${response.status.value}, not run"))
            else -> report(GateEvent.EndpointFailed(attempt, "endpoint answered ${response.status.value}"))
        }
    }

    private suspend fun readWhole(dispatch: Dispatch, response: HttpResponse, report: suspend (GateEvent) -> Unit) {
        val collected = ByteArrayOutputStream()
        readChunks(response) { collected.write(it) }
        val answer = collected.toByteArray()
        val starts = if (answer.isEmpty()) listOf(0) else answer.indices step FRAME_BYTES
        for (start in starts) {
            val end = minOf(start + FRAME_BYTES, answer.size)
            val payload = Payload(answer.copyOfRange(start, end))
            report(GateEvent.EndpointResponded(dispatch.attempt, payload, last = end == answer.size))
        }
    }

    private suspend fun readParts(dispatch: Dispatch, response: HttpResponse, report: suspend (GateEvent) -> Unit) {
        readChunks(response) { part ->
            report(GateEvent.EndpointResponded(dispatch.attempt, Payload(part), last = false))
        }
        report(GateEvent.EndpointResponded(dispatch.attempt, Payload.EMPTY, last = true))
    }

    private suspend fun readChunks(response: HttpResponse, take: suspend (ByteArray) -> Unit) {
        val body = response.bodyAsChannel()
        val buffer = ByteArray(PART_BYTES)
        var total = 0L
        while (true) {
            val count = body.readAvailable(buffer)
            if (count < 0) break
            total += count
            if (total > maximumAnswerBytes) throw IOException("answer is longer than $maximumAnswerBytes bytes")
            take(buffer.copyOf(count))
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
        /** Longest answer that is taken unless the settings say otherwise, in bytes. */
        const val DEFAULT_ANSWER_BYTES = 8 * 1024 * 1024

        /** Largest part of a streamed answer, in bytes. */
        private const val PART_BYTES = 16 * 1024

        /** Largest frame of an answer that is not streamed, in bytes. */
        private const val FRAME_BYTES = 1024 * 1024

        /** Time after the deadline for which an answer is still awaited, so that the ledger learns the outcome. */
        private const val ANSWER_GRACE_MILLIS = 10_000L
    }
}
