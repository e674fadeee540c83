package org.bilberryhead.forwarding

import io.netty.handler.codec.http.FullHttpRequest
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.testing.FreePorts
import org.bilberryhead.forwarding.http.SimpleHttpResponse
import org.bilberryhead.forwarding.http.SimpleHttpServer
import org.bilberryhead.platform.wire.RowKey
import java.util.Base64
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/** A store in memory that reads whole tables and changes of them, and makes transactions with expected versions. */
internal class FakeRowStore : AutoCloseable {
    /** A row; its value is null once it was removed. */
    private class Row(val value: String?, val version: Long)

    private val thread = newEventThread()
    private val rows = ConcurrentHashMap<RowKey, Row>()
    private val version = AtomicLong()
    val address = SocketAddress("127.0.0.1", FreePorts.next())

    /** The keys of the rows of [table]. */
    fun keys(table: String): Set<String> = rows.filter { (row, content) ->
        row.table == table && content.value != null
    }.keys.mapTo(mutableSetOf()) { it.key }

    /** Removes a row as another writer would. */
    fun remove(row: RowKey) {
        rows[row] = Row(value = null, version.incrementAndGet())
    }

    /** Writes a row as another writer would. */
    fun put(row: RowKey, text: String) {
        rows[row] = Row(Base64.getEncoder().encodeToString(text.encodeToByteArray()), version.incrementAndGet())
    }

    init {
        SimpleHttpServer(thread, ::respond).listen(address)
    }

    private fun respond(request: FullHttpRequest): SimpleHttpResponse {
        val uri = request.uri()
        val table = uri.substringAfter("table=").substringBefore('&')
        return when {
            "rows-tx" in uri -> transact(Json.parseToJsonElement(request.content().toString(Charsets.UTF_8)).jsonObject)
            "rows-feed" in uri -> {
                // Instead of waiting for a change, so that entries do not call all the time.
                TimeUnit.MILLISECONDS.sleep(2)
                SimpleHttpResponse(OK, changesText(table, uri.substringAfter("after=").substringBefore('&').toLong()))
            }
            else -> SimpleHttpResponse(OK, tableText(table))
        }
    }

    private fun transact(body: JsonObject): SimpleHttpResponse {
        val isExpected = body.rows("expected_rev").all { fields ->
            (rows[keyOf(fields)]?.takeIf { it.value != null }?.version ?: 0) ==
                fields.getValue("ver").jsonPrimitive.long
        }
        if (!isExpected) return SimpleHttpResponse(CONFLICT, """{"rows":[]}""")
        val newVersion = version.incrementAndGet()
        body.rows("set_keys").forEach { rows[keyOf(it)] = Row(it.getValue("value").jsonPrimitive.content, newVersion) }
        body.rows("remove").forEach { rows[keyOf(it)] = Row(value = null, newVersion) }
        return SimpleHttpResponse(OK, """{"ver":$newVersion}""")
    }

    private fun JsonObject.rows(name: String) = getValue(name).jsonArray.map { it.jsonObject }

    private fun keyOf(fields: JsonObject) =
        RowKey(fields.getValue("table").jsonPrimitive.content, fields.getValue("key").jsonPrimitive.content)

    private fun tableText(table: String): String =
        rowsText(rows.filter { (row, content) -> row.table == table && content.value != null })

    private fun changesText(table: String, after: Long): String =
        rowsText(rows.filter { (row, content) -> row.table == table && content.version > after })

    private fun rowsText(selected: Map<RowKey, Row>): String {
        val texts = selected.toSortedMap(compareBy { it.key }).map { (key, row) ->
            """{"key":"${key.key}","value":"${row.value.orEmpty()}",""" +
                """"removed":${row.value == null},"ver":${row.version}}"""
        }
        return """{"rows":[${texts.joinToString(",")}],"truncated":false,"ver":$version}"""
    }

    override fun close() {
        thread.loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private companion object {
        const val OK = 200
        const val CONFLICT = 412
    }
}
