package org.bilberryhead.sidecar

import io.ktor.client.HttpClient
import io.ktor.client.engine.okhttp.OkHttp
import io.ktor.client.engine.okhttp.OkHttpConfig
import io.ktor.client.plugins.HttpTimeout
import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import java.net.ConnectException
import java.net.NoRouteToHostException
import java.net.UnknownHostException
import java.util.concurrent.TimeUnit

/** Creates HTTP clients that send one request for each call and never repeat it. */
internal object EndpointHttp {
    /** Maximum number of concurrent calls of an HTTP client; the gate sets the effective limit. */
    private const val MAXIMUM_CALLS = 4_096
    private const val MAXIMUM_IDLE_CONNECTIONS = 64
    private const val IDLE_TIMEOUT_SECONDS = 60L
    private const val CONNECT_TIMEOUT_MILLIS = 1_000L

    /** Returns a new client. */
    fun client(): HttpClient = HttpClient(OkHttp) {
        expectSuccess = false
        followRedirects = false
        install(HttpTimeout)
        engine { configure() }
    }

    /** Returns whether [failure] proves that the call did not reach the endpoint. */
    fun isConnectFailure(failure: Exception): Boolean =
        failure is ConnectException || failure is NoRouteToHostException || failure is UnknownHostException

    private fun OkHttpConfig.configure() = config {
        retryOnConnectionFailure(false)
        followRedirects(false)
        followSslRedirects(false)
        dispatcher(
            Dispatcher().apply {
                maxRequests = MAXIMUM_CALLS
                maxRequestsPerHost = MAXIMUM_CALLS
            },
        )
        connectionPool(ConnectionPool(MAXIMUM_IDLE_CONNECTIONS, IDLE_TIMEOUT_SECONDS, TimeUnit.SECONDS))
        connectTimeout(CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        // 0 disables the timeout; each call sets a request timeout instead.
        readTimeout(0, TimeUnit.MILLISECONDS)
        writeTimeout(0, TimeUnit.MILLISECONDS)
        // Removes the header because OkHttp repeats a request after status 503 with "Retry-After: 0".
        addNetworkInterceptor { chain ->
            chain.proceed(chain.request()).newBuilder().removeHeader("Retry-After").build()
        }
    }
}
