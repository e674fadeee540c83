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
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** A store in memory that reads whole tables and makes transactions with expected versions. */
internal class FakeRowStore : AutoCloseable {
    private class Row(val value: String, val version: Long)

    private val thread = newEventThread()
    private val rows = ConcurrentHashMap<RowKey, Row>()
    private var version = 0L
    val address = SocketAddress("127.0.0.1", FreePorts.next())

    /** The keys of the rows of [table]. */
    fun keys(table: String): Set<String> = rows.keys.filter { it.table == table }.mapTo(mutableSetOf()) { it.key }

    /** Removes a row as another writer would. */
    fun remove(row: RowKey) {
        rows.remove(row)
    }

    init {
        SimpleHttpServer(thread, ::respond).listen(address)
    }

    private fun respond(request: FullHttpRequest): SimpleHttpResponse = if ("rows-tx" in request.uri()) {
        transact(Json.parseToJsonElement(request.content().toString(Charsets.UTF_8)).jsonObject)
    } else {
        SimpleHttpResponse(OK, tableText(request.uri().substringAfter("table=").substringBefore('&')))
    }

    private fun transact(body: JsonObject): SimpleHttpResponse {
        val isExpected = body.rows("expected_rev").all { fields ->
            (rows[keyOf(fields)]?.version ?: 0) == fields.getValue("ver").jsonPrimitive.long
        }
        if (!isExpected) return SimpleHttpResponse(CONFLICT, """{"rows":[]}""")
        version++
        body.rows("set_keys").forEach { rows[keyOf(it)] = Row(it.getValue("value").jsonPrimitive.content, version) }
        body.rows("remove").forEach { rows.remove(keyOf(it)) }
        return SimpleHttpResponse(OK, """{"ver":$version}""")
    }

    private fun JsonObject.rows(name: String) = getValue(name).jsonArray.map { it.jsonObject }

    private fun keyOf(fields: JsonObject) =
        RowKey(fields.getValue("table").jsonPrimitive.content, fields.getValue("key").jsonPrimitive.content)

    private fun tableText(table: String): String {
        val texts = rows.filterKeys { it.table == table }.toSortedMap(compareBy { it.key })
            .map { (key, row) -> """{"key":"${key.key}","value":"${row.value}","ver":${row.version}}""" }
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
