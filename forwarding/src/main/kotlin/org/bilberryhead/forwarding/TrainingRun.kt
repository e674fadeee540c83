package org.bilberryhead.forwarding

import io.netty.handler.codec.http.FullHttpRequest
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.forwarding.http.SmallAnswer
import org.bilberryhead.forwarding.http.SmallServer
import org.bilberryhead.platform.wire.WireHeaders
import org.bilberryhead.platform.wire.WirePaths
import java.io.IOException
import java.net.HttpURLConnection
import java.net.ServerSocket
import java.net.URI
import java.util.Base64

/**
 * Runs an entry on loopback for a moment against a store and an endpoint that always answer the same. The build does
 * this once, to write the classes that an entry needs into an archive from which it starts faster.
 */
internal class TrainingRun(private val newThread: () -> EventThread, private val start: (ForwardingSettings) -> Unit) {
    private val store = freeAddress()
    private val endpoint = freeAddress()
    private val settings = ForwardingSettings(
        id = DaemonId("training"),
        dataCentre = DataCentre("here"),
        callers = freeAddress(),
        readiness = freeAddress(),
        peers = freeAddress(),
        metrics = freeAddress(),
        store = store,
        retrySlack = 10.0,
    )

    /** Serves a few requests of each kind; returns how many were answered with success. */
    fun run(): Int {
        SmallServer(newThread(), ::answerAsStore).listen(store)
        SmallServer(newThread(), ::answerAsEndpoint).listen(endpoint)
        start(settings)
        Thread.sleep(SETTLE_MS)
        val answered = (0 until ROUNDS).sumOf { round -> PATHS.count { path -> isServed(path, "$round$path") } }
        read("http://${settings.metrics}/")
        return answered
    }

    private fun answerAsStore(request: FullHttpRequest): SmallAnswer {
        val uri = request.uri()
        return when {
            uri.startsWith(WirePaths.ROWS_TRANSACTION) -> json("""{"ver":1}""")
            uri.startsWith("/v1/rows-feed") -> json("""{"rows":[],"ver":1}""")
            "table=op" in uri -> json(rows("config" to CONFIGURATION))
            "table=servers" in uri -> json(rows("plain" to entry("plain"), "llm" to entry("llm"), "st" to entry("st")))
            else -> json("""{"rows":[],"ver":1}""")
        }
    }

    private fun answerAsEndpoint(request: FullHttpRequest): SmallAnswer {
        val id = request.headers()[WireHeaders.REQUEST_ID].orEmpty()
        val headers = mapOf(
            WireHeaders.REQUEST_ID to id,
            WireHeaders.SIGNATURE to "signature",
            WireHeaders.LOAD to "1,0,4",
        )
        return when {
            request.uri() == WirePaths.STAGE_RUN -> json("""{"items":[{"handle":"$endpoint/result"}]}""")
            request.uri() == WirePaths.STAGE_FREE -> json("{}")
            request.uri().startsWith("/stream") || request.uri().startsWith("/resume") ->
                SmallAnswer(OK, "id: 0\ndata: a\n\nid: 1\ndata: b\n\n", "text/event-stream", headers)

            else -> SmallAnswer(OK, "answer", headers = headers)
        }
    }

    private fun isServed(path: String, id: String): Boolean {
        val connection = URI("http://${settings.callers}$path").toURL().openConnection() as HttpURLConnection
        connection.setRequestProperty(WireHeaders.REQUEST_ID, id)
        connection.setRequestProperty(WireHeaders.API_KEY, "key")
        connection.setRequestProperty(WireHeaders.DEADLINE_MS, "3000")
        if (path.startsWith("/stream") || path.startsWith("/resume")) {
            connection.setRequestProperty(WireHeaders.TOKEN_COUNTS, "10,10")
            connection.setRequestProperty(WireHeaders.PROMPT_PARTS, "a:5,b:5")
            connection.setRequestProperty(WireHeaders.PIECE_COUNTS, "1")
            connection.setRequestProperty(WireHeaders.PIECE_KEY, "key")
        }
        return connection.responseCode == OK && connection.inputStream.readBytes().isNotEmpty()
    }

    private fun read(address: String) = URI(address).toURL().openStream().use { it.readBytes() }

    private fun entry(pool: String) =
        """{"service":"$pool","address":"$endpoint","zone":"here","slots":4,"state":"ready","sequence":1,"born":1}"""

    private fun rows(vararg rows: Pair<String, String>): String = rows.joinToString(
        prefix = """{"rows":[""",
        postfix = """],"truncated":false,"ver":1}""",
    ) { (key, value) ->
        val encoded = Base64.getEncoder().encodeToString(value.encodeToByteArray())
        """{"table":"t","part":"","key":"$key","value":"$encoded","ver":1}"""
    }

    private fun json(text: String) = SmallAnswer(OK, text, "application/json")

    private companion object {
        const val OK = 200
        const val ROUNDS = 3
        const val SETTLE_MS = 1_500L
        const val HOST = "127.0.0.1"
        val PATHS = listOf("/plain/a", "/order/a", "/stream/a", "/resume/a")
        val CONFIGURATION = """
            {"version":1,"routes":[
            {"name":"a","host":"$HOST","prefix":"/plain/","route_type":"idempotent","timeout_ms":3000,"service":"plain"},
            {"name":"b","host":"$HOST","prefix":"/order/","route_type":"non_idempotent","service":"plain"},
            {"name":"c","host":"$HOST","prefix":"/stream/","route_type":"streaming","service":"llm",
             "stages":[{"service":"st","after":[],"bytes":800}]},
            {"name":"d","host":"$HOST","prefix":"/resume/","route_type":"streaming","resumable":true,"service":"llm"}],
            "services":[{"name":"plain","max_conns":50},{"name":"llm","max_conns":50,"engine":{"slots":4}},
            {"name":"st","max_conns":50,"pieces":{"slots":1,"queue":1,"batch":2,"call_ms":10,"item_ms":1}}],
            "tenants":[{"name":"account","api_keys":["key"]}]}
        """.trimIndent()

        fun freeAddress(): SocketAddress = try {
            ServerSocket(0).use { SocketAddress(HOST, it.localPort) }
        } catch (failure: IOException) {
            throw IllegalStateException("no free port on loopback", failure)
        }
    }
}
