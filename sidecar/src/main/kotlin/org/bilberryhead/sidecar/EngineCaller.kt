package org.bilberryhead.sidecar

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.client.plugins.timeout
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.serialization.json.Json
import org.bilberryhead.core.common.FencingNumber
import org.bilberryhead.core.order.EngineState
import org.bilberryhead.core.order.Order
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Name of the header with the fencing number of an order. */
const val FENCING_NUMBER_HEADER = "X-Fencing-Number"

/** Reason why a call of the engine failed. */
sealed interface EngineError {
    /** Description for the operator. */
    val detail: String

    /** The engine has received a newer fencing number and did not execute the order. */
    data class StaleFencingNumber(override val detail: String) : EngineError

    /** The call did not reach the engine. */
    data class NotReached(override val detail: String) : EngineError

    /** The engine may have executed the order, or may still execute it. */
    data class OutcomeUnknown(override val detail: String) : EngineError
}

/**
 * Calls the engine over HTTP: `GET /engine` returns what it has loaded, `POST /orders` sends it one order.
 *
 * @param orderTimeout timeout of an order, after which its outcome is unknown
 */
class EngineCaller(private val baseUrl: String, private val orderTimeout: Duration = 10.minutes) : AutoCloseable {
    private val json = Json { ignoreUnknownKeys = true }
    private val client = EndpointHttp.client()

    /** Returns what the engine has loaded. */
    suspend fun readState(): Result<EngineState, EngineError> = call {
        val response = client.get("$baseUrl/engine") {
            timeout { requestTimeoutMillis = STATE_READ_TIMEOUT.inWholeMilliseconds }
        }
        val text = response.bodyAsText()
        if (response.status.isSuccess()) Ok(json.decodeFromString(text)) else Err(unknownOutcome(response.status))
    }

    /** Sends [order] with [fencingNumber] to the engine. */
    suspend fun send(order: Order, fencingNumber: FencingNumber): Result<Unit, EngineError> = call {
        val response = client.post("$baseUrl/orders") {
            header(FENCING_NUMBER_HEADER, fencingNumber.value)
            contentType(ContentType.Application.Json)
            timeout { requestTimeoutMillis = orderTimeout.inWholeMilliseconds }
            setBody(json.encodeToString(order))
        }
        when {
            response.status.isSuccess() -> Ok(Unit)
            response.status == HttpStatusCode.Conflict ->
                Err(EngineError.StaleFencingNumber("the engine has received a newer fencing number"))
            else -> Err(unknownOutcome(response.status))
        }
    }

    override fun close() = client.close()

    @Suppress("TooGenericExceptionCaught") // an action without a result would stop the orders forever
    private suspend fun <T> call(work: suspend () -> Result<T, EngineError>): Result<T, EngineError> = try {
        work()
    } catch (failure: CancellationException) {
        currentCoroutineContext().ensureActive()
        Err(EngineError.OutcomeUnknown("call failed: ${failure.message}"))
    } catch (failure: Exception) {
        if (EndpointHttp.isConnectFailure(failure)) {
            Err(EngineError.NotReached("no connection: ${failure.message}"))
        } else {
            Err(EngineError.OutcomeUnknown("call failed: ${failure.message}"))
        }
    }

    private fun unknownOutcome(status: HttpStatusCode) =
        EngineError.OutcomeUnknown("engine responded with status ${status.value}")

    private companion object {
        val STATE_READ_TIMEOUT = 5.seconds
    }
}
