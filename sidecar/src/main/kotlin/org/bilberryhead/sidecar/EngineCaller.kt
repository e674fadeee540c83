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

/** Why an engine did not do what it was asked. */
sealed interface EngineError {
    /** For the operator: what happened. */
    val detail: String

    /** The engine has seen a newer fencing number, and did nothing. */
    data class OldNumber(override val detail: String) : EngineError

    /** The engine saw nothing of the call. */
    data class NotReached(override val detail: String) : EngineError

    /** The engine may have carried the order out, or may still do so. */
    data class OutcomeUnknown(override val detail: String) : EngineError
}

/**
 * Calls the engine over HTTP: `GET /engine` tells what it has loaded, `POST /orders` gives it one order.
 *
 * @param orderTimeout longest time that an order may take; its outcome is unknown afterwards
 */
class EngineCaller(private val baseUrl: String, private val orderTimeout: Duration = 10.minutes) : AutoCloseable {
    private val json = Json { ignoreUnknownKeys = true }
    private val client = EndpointHttp.client()

    /** Asks the engine what it has loaded. */
    suspend fun loaded(): Result<EngineState, EngineError> = call {
        val response = client.get("$baseUrl/engine") {
            timeout { requestTimeoutMillis = READ_TIMEOUT.inWholeMilliseconds }
        }
        val text = response.bodyAsText()
        if (response.status.isSuccess()) Ok(json.decodeFromString(text)) else Err(unknown(response.status))
    }

    /** Sends [order] with [number]. */
    suspend fun send(order: Order, number: FencingNumber): Result<Unit, EngineError> = call {
        val response = client.post("$baseUrl/orders") {
            header(FENCING_NUMBER_HEADER, number.value)
            contentType(ContentType.Application.Json)
            timeout { requestTimeoutMillis = orderTimeout.inWholeMilliseconds }
            setBody(json.encodeToString(order))
        }
        when {
            response.status.isSuccess() -> Ok(Unit)
            response.status == HttpStatusCode.Conflict -> Err(EngineError.OldNumber("it has seen a newer number"))
            else -> Err(unknown(response.status))
        }
    }

    override fun close() = client.close()

    @Suppress("TooGenericExceptionCaught") // an action without an answer would stop the orders for ever
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

    private fun unknown(status: HttpStatusCode) = EngineError.OutcomeUnknown("engine answered ${status.value}")

    private companion object {
        val READ_TIMEOUT = 5.seconds
    }
}
