package org.bilberryhead.cli.client

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import io.ktor.client.HttpClient
import io.ktor.client.engine.okhttp.OkHttp
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.parameter
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.http.encodeURLPathPart
import io.ktor.http.isSuccess
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.bilberryhead.core.common.ChangeId
import org.bilberryhead.core.common.RequestKind
import org.bilberryhead.core.tables.TableChange
import org.bilberryhead.core.tables.Tables
import org.bilberryhead.operator.ChangeResponse
import org.bilberryhead.operator.EntryStatus
import org.bilberryhead.operator.Explanation
import org.bilberryhead.operator.OperatorPaths
import java.io.IOException
import java.net.ConnectException
import javax.net.ssl.SSLHandshakeException
import javax.net.ssl.SSLPeerUnverifiedException

/**
 * Calls the operators' interface of the entries. A read goes to the next entry when one does not respond; a change goes
 * to the next entry only when no connection was made, so that it is never sent twice.
 *
 * @param authority authorities that sign the entries' certificates; null for those that the Java runtime trusts
 */
class OperatorClient(
    private val entries: List<String>,
    private val token: String,
    authority: CertificateAuthority? = null,
) : ChangeCalls,
    AutoCloseable {
    private val json = Json { ignoreUnknownKeys = true }
    private val client = HttpClient(OkHttp) {
        expectSuccess = false
        install(HttpTimeout) {
            connectTimeoutMillis = CONNECT_TIMEOUT_MILLIS
            requestTimeoutMillis = REQUEST_TIMEOUT_MILLIS
            socketTimeoutMillis = REQUEST_TIMEOUT_MILLIS
        }
        engine {
            config {
                retryOnConnectionFailure(false)
                authority?.let { sslSocketFactory(it.socketFactory(), it.trustManager) }
            }
        }
    }

    /** Returns the current tables. */
    suspend fun tables(): Result<Tables, CallError> = read(OperatorPaths.TABLES)

    /** Returns the newest [limit] changes, newest first. */
    suspend fun history(limit: Int): Result<List<TableChange>, CallError> =
        read(OperatorPaths.HISTORY) { parameter("limit", limit) }

    /** Returns where a request of [kind] would be routed now. */
    suspend fun explain(kind: RequestKind): Result<Explanation, CallError> =
        read(OperatorPaths.EXPLAIN.replace("{kind}", kind.value.encodeURLPathPart()))

    /** Returns the status of each entry, or the error of an entry that does not respond. */
    suspend fun statuses(): List<EntryStatusResult> =
        entries.map { entry -> EntryStatusResult(entry, decode(call(entry, HttpMethod.Get, OperatorPaths.STATUS))) }

    /** Proposes [change], once. */
    override suspend fun propose(change: TableChange): Result<ChangeResponse, CallError> {
        val unreachable = mutableListOf<String>()
        for (entry in entries) {
            val result = call(entry, HttpMethod.Post, OperatorPaths.CHANGES) {
                // An entry to which no connection was made has not received the change.
                parameter(OperatorPaths.FIRST, true)
                contentType(ContentType.Application.Json)
                setBody(json.encodeToString(change))
            }
            val error = result.getError()
            if (error !is CallError.NoEntryReachable) return decodeChange(result)
            unreachable += error.detail
        }
        return Err(CallError.NoEntryReachable(unreachable.joinToString("; ")))
    }

    /** Returns the outcome of the change [id] from the first entry that knows it. */
    override suspend fun outcome(id: ChangeId): Result<ChangeResponse, CallError> {
        val path = OperatorPaths.CHANGE.replace("{id}", id.value.encodeURLPathPart())
        var last: Result<ChangeResponse, CallError> = Err(CallError.NoEntryReachable("no entry is named"))
        for (entry in entries) {
            last = decodeChange(call(entry, HttpMethod.Get, path))
            if (last.fold(success = { it !is ChangeResponse.Unknown }, failure = { false })) return last
        }
        return last
    }

    override fun close() = client.close()

    private suspend inline fun <reified T> read(
        path: String,
        noinline configure: HttpRequestBuilder.() -> Unit = {},
    ): Result<T, CallError> {
        val unreachable = mutableListOf<String>()
        for (entry in entries) {
            val result = decode<T>(call(entry, HttpMethod.Get, path, configure))
            val error = result.getError()
            if (error !is CallError.NoEntryReachable && error !is CallError.ResponseLost) return result
            unreachable += error.detail
        }
        return Err(CallError.NoEntryReachable(unreachable.joinToString("; ")))
    }

    private suspend fun call(
        entry: String,
        method: HttpMethod,
        path: String,
        configure: HttpRequestBuilder.() -> Unit = {},
    ): Result<EntryResponse, CallError> = try {
        val response = client.request(entry.trimEnd('/') + path) {
            this.method = method
            bearerAuth(token)
            configure()
        }
        classify(entry, EntryResponse(response.status, response.bodyAsText()))
    } catch (failure: ConnectException) {
        Err(CallError.NoEntryReachable("$entry: ${failure.message}"))
    } catch (failure: SSLHandshakeException) {
        Err(CallError.NoEntryReachable("$entry: no TLS connection: ${failure.message}"))
    } catch (failure: SSLPeerUnverifiedException) {
        Err(CallError.NoEntryReachable("$entry: no TLS connection: ${failure.message}"))
    } catch (failure: IOException) {
        Err(CallError.ResponseLost("$entry: ${failure.message}"))
    }

    private fun classify(entry: String, response: EntryResponse): Result<EntryResponse, CallError> {
        val detail = "$entry responded with status ${response.status.value}: ${response.body.trim()}"
        return when (response.status) {
            HttpStatusCode.Unauthorized, HttpStatusCode.Forbidden -> Err(CallError.NotAuthorized(detail))
            HttpStatusCode.NotFound -> Err(CallError.NotFound(detail))
            else -> Ok(response)
        }
    }

    private inline fun <reified T> decode(result: Result<EntryResponse, CallError>): Result<T, CallError> {
        val response = result.getOrElse { return Err(it) }
        if (!response.status.isSuccess()) {
            return Err(CallError.Rejected("response status ${response.status.value}: ${response.body.trim()}"))
        }
        return parse<T>(response).let { parsed ->
            if (parsed == null) Err(CallError.Rejected("the response can not be decoded")) else Ok(parsed)
        }
    }

    /**
     * Decodes the response to a change, which has a [ChangeResponse] body with any status. Without such a body, status
     * 400 means that the entry rejected the change; with any other status the outcome is unknown.
     */
    private fun decodeChange(result: Result<EntryResponse, CallError>): Result<ChangeResponse, CallError> {
        val response = result.getOrElse { return Err(it) }
        val parsed = parse<ChangeResponse>(response)
        return when {
            parsed != null -> Ok(parsed)
            response.status == HttpStatusCode.BadRequest -> Err(CallError.Rejected(response.body.trim()))
            else -> Err(CallError.ResponseLost("response status ${response.status.value}: ${response.body.trim()}"))
        }
    }

    private inline fun <reified T> parse(response: EntryResponse): T? = try {
        json.decodeFromString<T>(response.body)
    } catch (_: SerializationException) {
        null
    }

    private class EntryResponse(val status: HttpStatusCode, val body: String)

    private companion object {
        /** Connect timeout, in milliseconds. */
        const val CONNECT_TIMEOUT_MILLIS = 2_000L

        /** Timeout for the complete response, in milliseconds. */
        const val REQUEST_TIMEOUT_MILLIS = 15_000L
    }
}

/** The status of [entry], or the error of the call. */
data class EntryStatusResult(val entry: String, val status: Result<EntryStatus, CallError>)
